package direct

import (
	"math"
	"time"
)

const (
	// misstatementWeight is the weight of the latest answer in the average. maxMisstatementStep bounds how far an answer is
	// taken to be from the average, as a binary logarithm, so that a request which a pause of the leaf has delayed does not
	// count as a contradiction.
	misstatementWeight  = 0.2
	maxMisstatementStep = 2
	// misstatementHalfLife is the time in which the average halves without answers. It is long enough that the average of a
	// leaf that answers a few times a second does not stay below the truth.
	misstatementHalfLife = 10 * time.Second
	// misstatementLogInterval is the shortest time between two lines in the log about one leaf.
	misstatementLogInterval = 10 * time.Second
)

// misstatement tracks how the working times of a leaf contradict the speeds that it states.
type misstatement struct {
	// ratio is the average binary logarithm of the measured working time as a multiple of the stated one. It tends to 0
	// without answers.
	ratio agedFigure
	// logged is the correction that the log has shown last, or 0, and loggedAt when it did.
	logged   float64
	loggedAt time.Time
}

// record adds a measured ratio.
func (m *misstatement) record(ratio float64, now time.Time) {
	average := m.ratio.meanAt(now)
	step := math.Log2(ratio) - average
	m.ratio.mean = average + misstatementWeight*max(-maxMisstatementStep, min(step, maxMisstatementStep))
	m.ratio.at = now
}

// correction returns the factor for the stated working time. It is 1 unless the answers clearly contradict the leaf.
func (m *misstatement) correction(now time.Time) float64 {
	if ratio := math.Exp2(m.ratio.meanAt(now)); ratio >= outlierFactor || ratio <= 1/outlierFactor {
		return ratio
	}
	return 1
}

// report logs that the correction of a leaf's statements has begun or ended.
func (m *misstatement) report(l *leafState, now time.Time) {
	correction := m.correction(now)
	known := m.logged != 0 && m.logged != 1
	if (correction != 1) == known || now.Sub(m.loggedAt) < misstatementLogInterval {
		return
	}
	outcome := "corrected"
	if correction == 1 {
		outcome = "believed"
	}
	m.logged, m.loggedAt = correction, now
	l.pool.config.Log.Info("leaf_speed", "leaf", l.leaf.ID, "boot", l.leaf.Boot, "service", l.leaf.Service, "speed", l.load.Speed,
		"correction", correction, "outcome", outcome)
}
