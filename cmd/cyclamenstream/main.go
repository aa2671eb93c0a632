// Command cyclamenstream runs the nodes of the query tier and is the command-line tool of its operators and callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cyclamenstream/api/verdict"
	"cyclamenstream/internal/callerclient"
	_ "cyclamenstream/internal/hangup" // ignores SIGHUP before the other packages are initialized
)

// Exit codes. They are part of the command-line interface and are also listed in docs/operators.md.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotInForce  = 4
	exitUnavailable = 5
	exitUnresolved  = 6
	exitPartial     = 7
	exitNotRun      = 8
	exitMayHaveRun  = 9
)

const description = `Query tier between callers and many sharded backend servers.

Examples:
  cyclamenstream --node 10.0.0.7:7080 status
  cyclamenstream profile create gate --deadline 150ms --leaf-timeout 60ms
  cyclamenstream service set lookup --profile gate --slots 3 --connections 30
  cyclamenstream query lookup --payload 'key=17'
  cyclamenstream zone out z1

Exit codes:
  0  ok
  1  general failure
  2  usage or bad input
  3  conflict: another operator changed the item first; nothing was written
  4  change accepted, but not in force everywhere within --wait
  5  unavailable; nothing was written
  6  unresolved: the change may have been written
  7  query answered in part
  8  query refused, certainly not run
  9  query failed and may have run

Run "cyclamenstream COMMAND --help" for the flags and examples of a command.`

// globals holds the flags that every command accepts.
type globals struct {
	Node    []string      `help:"HTTP address (host:port) of a node; repeat it to name several, which are asked in turn (default: ${default})." default:"127.0.0.1:7080" placeholder:"HOST:PORT" sep:"none"`
	Output  string        `help:"Output format: ${enum}." enum:"table,json" default:"table"`
	Timeout time.Duration `help:"Time for the whole command, without --wait; for a query its deadline." default:"10s"`
}

// Validate checks the flags. Kong calls it after parsing.
func (g globals) Validate() error {
	for _, node := range g.Node {
		if host, port, err := net.SplitHostPort(node); err != nil || host == "" || port == "" {
			return fmt.Errorf("--node %q; allowed: host:port", node)
		}
	}
	if g.Timeout <= 0 {
		return fmt.Errorf("--timeout %v; allowed: more than 0", g.Timeout)
	}
	return nil
}

type cli struct {
	globals

	RunNode nodeCommand `cmd:"" name:"node" help:"Run a node of the query tier."`

	Entry entryCommand `cmd:"" help:"Run an entry node on a platform with a registry of leaves."`

	Query  queryCommand  `cmd:"" help:"Run a query."`
	Locate locateCommand `cmd:"" help:"Show which addresses callers use for a service."`

	Demo demoCommand `cmd:"" help:"Run a small tier in this process and show how it behaves while a zone leaves and returns."`

	Status     statusCommand      `cmd:"" help:"Show the nodes, what they own and which configuration they use."`
	Timeline   timelineCommand    `cmd:"" help:"Show the events of all nodes in one order."`
	Logs       logsCommand        `cmd:"" help:"Merge the logs of entry nodes: one request, leaf or service over all of them."`
	Profile    profileCommands    `cmd:"" help:"Create, edit, show, list and delete profiles."`
	Service    serviceCommands    `cmd:"" help:"Set, show, list and delete services."`
	Zone       zoneCommands       `cmd:"" help:"Take an availability zone out of service and back in."`
	VM         vmCommands         `cmd:"" name:"vm" help:"Take a VM out of service and back in."`
	Quarantine quarantineCommands `cmd:"" help:"List and lift the refusal of requests that crash backend servers."`

	Settings settingsCommands `cmd:"" help:"Check a node's settings file."`
	Version  versionCommand   `cmd:"" help:"Show the version of this binary."`
}

// app holds what a command needs besides its own flags.
type app struct {
	globals
	stdout, stderr io.Writer
	client         *callerclient.Client
}

// exitError is an error that sets the exit code of the process. Nothing is printed if the message is empty.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

func fail(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// parserExit is the panic value that unwinds the parser after it has printed the help text.
type parserExit int

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the arguments, runs the command and returns the exit code. ctx is cancelled on an interrupt or SIGTERM.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			exit, ok := recovered.(parserExit)
			if !ok {
				panic(recovered)
			}
			code = int(exit)
		}
	}()
	var c cli
	parser := kong.Must(&c, kong.Name("cyclamenstream"), kong.Description(description), kong.Writers(stdout, stderr),
		kong.Exit(func(status int) { panic(parserExit(status)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}),
		kong.BindTo(ctx, (*context.Context)(nil)))
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "cyclamenstream: %v (see --help)\n", err)
		return exitUsage
	}
	a := &app{globals: c.globals, stdout: stdout, stderr: stderr, client: callerclient.New(c.Node...)}
	defer a.client.Close()
	err = parsed.Run(a)
	if err == nil {
		return exitOK
	}
	if err.Error() != "" {
		fmt.Fprintf(stderr, "cyclamenstream: %v\n", err)
	}
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitFailure
}

// withTimeout returns a context that expires after --timeout.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.Timeout)
}

// readFailure converts the error of a read-only request into one with an exit code.
func readFailure(err error) error {
	code := exitFailure
	switch verdict.CodeOf(err) {
	case verdict.CodeInvalid, verdict.CodeUnknownService:
		code = exitUsage
	case callerclient.CodeUnreachable, verdict.CodeNoOwner, verdict.CodeStale, verdict.CodeStopping, verdict.CodeDeadline:
		code = exitUnavailable
	}
	return fail(code, "%s", verdict.Message(err))
}
