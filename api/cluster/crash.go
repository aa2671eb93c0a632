package cluster

// Crash reports that a request was interrupted because the leaf that ran it went down. If Answered is set, it reports
// instead that a leaf has answered a request that was suspected of crashing leaves.
type Crash struct {
	// Fingerprint is a hash of the request's content. It is the same for each repetition of the request.
	Fingerprint uint64
	// Attempt is the caller's identifier of the interrupted attempt.
	Attempt string
	// Leaf and Boot identify the boot of the leaf that went down.
	Leaf string
	Boot int64
	// Answered is set if a leaf has answered the request. The fields above except Fingerprint are then empty.
	Answered bool
}

// Crashes carries crash reports between nodes. Reports may be lost, duplicated or reordered. Implementations are safe
// for concurrent use and never block.
type Crashes interface {
	// SendCrash sends a crash report to the nodes at the addresses.
	SendCrash(addresses []string, c Crash)
	// Crashes returns the channel of received crash reports. The oldest are dropped when it is full.
	Crashes() <-chan Crash
}
