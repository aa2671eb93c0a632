package quota

import "time"

// clock measures the time since its start. The monotonic clock might not count the time for which the VM is suspended, and the
// wall clock might be set back, so elapsed advances with the faster of them. It is in microseconds, as in messages.
type clock struct {
	read        func() time.Time
	start, last time.Time
	elapsed     time.Duration
}

func newClock(read func() time.Time) clock {
	now := read()
	return clock{read: read, start: now, last: now}
}

func (c *clock) now() instant {
	now := c.read()
	monotonic, wall := now.Sub(c.last), now.Round(0).Sub(c.last.Round(0))
	c.elapsed += max(0, monotonic, wall)
	c.last = now
	return instant{elapsed: c.elapsed.Truncate(time.Microsecond), steady: now.Sub(c.start)}
}
