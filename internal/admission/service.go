package admission

import (
	"maps"
	"slices"
	"time"
)

const (
	// A statement of a leaf counts in full for freshTime and less and less until staleTime, since load changes meanwhile.
	freshTime = 500 * time.Millisecond
	staleTime = 2 * time.Second
	// targetShare is the part of the target latency within which the work and the wait at a leaf must end. The rest covers the
	// way there and back, pauses, and the slowest of many services.
	targetShare = 0.5
	// minWaitShare is the acceptable wait at leaves as a share of the time of the work, if the target leaves no time for one.
	// A leaf with an empty queue would idle until its statement arrives.
	minWaitShare = 0.5
	// targetMemory is how long the shortest target latency of a service's requests counts.
	targetMemory = 2 * time.Second
	// The usual time of work is averaged over fastSmoothing answers if it falls and slowSmoothing if it rises, since pauses
	// and lost packets only make answers later.
	fastSmoothing = 4
	slowSmoothing = 20
	// queuedMemory is the time over which answers of leaves with a queue are averaged. The correction for the wait rises and falls
	// with the queue, over more than the time of a few answers.
	queuedMemory = time.Second
	// maxRise bounds the weight of one late answer.
	maxRise = 2
	// maxQueueRatio bounds the queue of a leaf that counts, as a multiple of the median wait at the leaves of the service. Other
	// requests need not wait in a longer one, or the statement is wrong.
	maxQueueRatio = 4
)

// statement is what a leaf has stated about its load.
type statement struct {
	running, waiting, slots, workFactor float64
	at                                  time.Time
}

// service is what is known about the leaves of one service.
type service struct {
	gate
	leaves   map[string]statement
	statedAt time.Time
	// work is the usual time of a request at a leaf without a queue, the way there and back included.
	work time.Duration
	// workQueued is set while only leaves with a queue have answered.
	workQueued bool
	target     time.Duration
	targetAt   time.Time
	// needed is the result of needs at the time neededAt, since many waiting requests ask for it at the same time.
	needed   time.Duration
	neededAt time.Time
	// waits is the memory in which medianWait sorts.
	waits []float64
}

// record adopts the statement in a leaf's answer.
func (s *service) record(r Reply, now time.Time) {
	since := now.Sub(s.statedAt)
	queued := r.Waiting > 0 || s.leaves[r.Leaf].waiting > 0 // if the queue has just ended, the request may have waited
	s.leaves[r.Leaf] = statement{float64(r.Running), float64(r.Waiting), float64(r.Slots), r.WorkFactor, now}
	s.statedAt, s.neededAt = now, time.Time{}
	if r.Target > 0 && (s.target == 0 || r.Target <= s.target || now.Sub(s.targetAt) > targetMemory) {
		s.target, s.targetAt = r.Target, now
	}
	if !r.Success {
		return
	}
	s.completed.add(1, now)
	s.recordWork(time.Duration(float64(r.Latency)/(r.WorkFactor*(1+float64(r.Waiting)/float64(r.Slots)))), queued, since)
}

// recordWork adopts the time of an answer, since the given time after the one before. The wait in a queue, which it is corrected
// for, changes meanwhile, so answers of leaves with a queue count little each.
func (s *service) recordWork(sample time.Duration, queued bool, since time.Duration) {
	switch {
	case s.work == 0 || s.workQueued && !queued:
		s.work, s.workQueued = sample, queued
	case queued:
		step := min(max(sample, s.work/maxRise), maxRise*s.work) - s.work
		s.work += time.Duration(float64(step) * min(1, float64(since)/float64(queuedMemory)))
	case sample < s.work:
		s.work += (sample - s.work) / fastSmoothing
	default:
		s.work += (min(sample, maxRise*s.work) - s.work) / slowSmoothing
	}
}

// expectation is what a request meets at the leaves at present.
type expectation struct {
	work, wait time.Duration
	// perSecond is the number of requests a second that all leaves complete.
	perSecond float64
}

func (s *service) expect(now time.Time) expectation {
	maps.DeleteFunc(s.leaves, func(_ string, l statement) bool { return now.Sub(l.at) > staleTime })
	slots, queue, perSecond := 0.0, 0.0, 0.0
	maxWait := maxQueueRatio * s.medianWait()
	for _, l := range s.leaves {
		weight := min(1, 1-float64(now.Sub(l.at)-freshTime)/float64(staleTime-freshTime))
		slots += l.slots
		queue += weight * min(l.running+l.waiting, max(1, maxWait/l.workFactor)*l.slots)
		perSecond += l.slots / (max(s.work, time.Microsecond).Seconds() * l.workFactor)
	}
	if perSecond == 0 {
		return expectation{work: s.work}
	}
	seconds := float64(time.Second)
	return expectation{time.Duration(slots / perSecond * seconds), time.Duration(max(0, queue-slots) / perSecond * seconds), perSecond}
}

// medianWait returns the median of the time in which leaves work off their queues, as a multiple of the usual time of work. Of two
// leaves, the shorter time counts.
func (s *service) medianWait() float64 {
	if len(s.leaves) == 0 {
		return 0
	}
	s.waits = s.waits[:0]
	for _, l := range s.leaves {
		s.waits = append(s.waits, (l.running+l.waiting)/l.slots*l.workFactor)
	}
	slices.Sort(s.waits)
	return s.waits[(len(s.waits)-1)/2]
}

// pressureAt returns the wait at the leaves relative to the acceptable one, and notes this node's part of the capacity if nodes
// share it. Free slots of one leaf make up for a queue at another, so leaves that are slow or pause alone cause no pressure.
func (s *service) pressureAt(now time.Time, nodes int) float64 {
	e := s.expect(now)
	s.equalPart = 0
	if nodes > 0 {
		s.equalPart = e.perSecond / float64(nodes)
	}
	if e.wait == 0 || e.work == 0 {
		return 0
	}
	acceptable := max(time.Duration(targetShare*float64(s.target))-e.work, time.Duration(minWaitShare*float64(e.work)))
	return float64(e.wait) / float64(acceptable)
}

// needs returns the time that a request needs at present from its send to its answer. It is 0 while room is not short.
func (s *service) needs(now time.Time) time.Duration {
	if !s.closed {
		return 0
	}
	if !now.Equal(s.neededAt) {
		e := s.expect(now)
		s.needed, s.neededAt = e.work+e.wait, now
	}
	return s.needed
}
