package follow

import (
	"context"
	"time"

	"cyclamenstream/api/cluster"
	"cyclamenstream/api/registry"
)

const (
	// maxNoticeBytes bounds the bytes of the notices of one read to all nodes.
	maxNoticeBytes = 4 << 20
	// noticeBytesPerSecond is the rate at which notices are sent. Above it, the links of small VMs drop many of them.
	noticeBytesPerSecond = 4 << 20
	// burstBytes are sent at once.
	burstBytes = 256 << 10
)

// notify sends notices of how the state differs from old, which was read at began. If these would be too many, it sends one
// without the changes, and the other nodes read the registry. Many notices are sent in the background, unless those of a
// later read replace them.
func (f *Follower) notify(ctx context.Context, old registry.State, began time.Time) {
	addresses := f.peerAddresses()
	notices := newNotices(f.config.Self, old, f.state)
	total := len(notices) * len(addresses) * noticeBytes
	if total > maxNoticeBytes && len(notices) > 1 {
		notices = []cluster.Notice{summary(f.config.Self, old, f.state)}
	}
	f.cancelNotices()
	if total <= burstBytes || len(notices) == 1 {
		for _, n := range notices {
			f.sendNotice(addresses, n, began)
		}
		return
	}
	sendCtx, cancel := context.WithCancel(ctx)
	f.cancelNotices = cancel
	go f.sendPaced(sendCtx, addresses, notices, began)
}

func (f *Follower) sendNotice(addresses []string, n cluster.Notice, began time.Time) {
	n.Age = time.Since(began)
	f.peers.SendNotice(addresses, n)
}

// sendPaced sends the notices of one read at noticeBytesPerSecond until ctx ends.
func (f *Follower) sendPaced(ctx context.Context, addresses []string, notices []cluster.Notice, began time.Time) {
	pause := time.Duration(float64(len(addresses)*noticeBytes) / noticeBytesPerSecond * float64(time.Second))
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for _, n := range notices {
		f.sendNotice(addresses, n, began)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
