package cluster

// Crash says that a request broke off because the leaf that ran it went down, or that a leaf has answered a request that was
// suspected of it.
type Crash struct {
	// Fingerprint stands for the content of the request, which is the same whenever it comes again.
	Fingerprint uint64
	// Attempt is the caller's identifier of the attempt that broke off.
	Attempt string
	// Leaf and Boot name the start of the leaf that went down.
	Leaf string
	Boot int64
	// Answered says that a leaf has answered the request; the fields above, except Request, are empty.
	Answered bool
}

// Crashes carries crashes between nodes. They may be lost, come twice or out of order. Implementations are safe for concurrent
// use and never block.
type Crashes interface {
	// SendCrash sends a crash to the nodes at the addresses.
	SendCrash(addresses []string, c Crash)
	// Crashes returns the channel of received crashes; the oldest are dropped when it is full.
	Crashes() <-chan Crash
}
