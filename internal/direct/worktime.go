package direct

import "time"

// minWorkAnswers is the number of answers from which on the working time of a leaf counts for its service. A speed that has
// changed during the work makes single ones far too short.
const minWorkAnswers = 5

// workTime is the time that one leaf usually takes for a request at the usual speed, without the way and the wait.
type workTime struct {
	usual   time.Duration
	answers int
}

// record moves the usual time towards a measured one by a fixed share, and by more at first, so that it follows the median
// and a single pause or a speed that has changed during the work does not matter.
func (w *workTime) record(d time.Duration) {
	w.answers = min(w.answers+1, processingSmoothing)
	if w.answers == 1 {
		w.usual = d
		return
	}
	step := w.usual / time.Duration(w.answers)
	w.usual += max(-step, min(d-w.usual, step))
}

// usualWork is the usual working time at the leaves of a service.
type usualWork struct{ shortest time.Duration }

// expected returns the time to expect of a leaf that has not answered.
func (u *usualWork) expected() time.Duration {
	if u.shortest == 0 {
		return initialProcessing
	}
	return u.shortest
}

// update adopts the working time of the leaf with the shortest one. With that of a slow leaf, another one that is not in use
// would seem as slow and never be tried.
func (u *usualWork) update(leaves []*leafState) {
	needed := minWorkAnswers
	if u.shortest == 0 {
		needed = 1
	}
	shortest := time.Duration(0)
	for _, l := range leaves {
		if w := &l.expectation.own; w.answers >= needed && (shortest == 0 || w.usual < shortest) {
			shortest = w.usual
		}
	}
	if shortest > 0 {
		u.shortest = shortest
	}
}
