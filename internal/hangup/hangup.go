// Package hangup ignores SIGHUP from the start of the process on. The signal asks for a reload, and its default action
// would end a process that has not begun to handle it. Packages are initialized in the order of their import paths as
// far as their imports allow, so this one precedes most libraries, whose initialization takes most of the time before
// main.
package hangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
