// Command standin runs a stand-in platform or a stand-in leaf as a process. It is a test tool.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"cyclamenstream/internal/standin/leaf"
	"cyclamenstream/internal/standin/platform"
)

type listenFlags struct {
	Listen  string `default:"127.0.0.1:0" help:"Address of the gRPC port."`
	Control string `default:"127.0.0.1:0" help:"Address of the control port."`
}

type commands struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in platform."`
	Leaf     leafCommand     `cmd:"" help:"Run a stand-in leaf."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("standin"), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}

// Addresses is what a stand-in prints on standard output, as one line of JSON, when it is ready.
type Addresses struct {
	Address string `json:"address"`
	Control string `json:"control"`
}

type platformCommand struct{ listenFlags }

// Run serves until SIGTERM.
func (c *platformCommand) Run() error {
	server, err := platform.Serve(platform.New(), c.Listen, c.Control)
	if err != nil {
		return err
	}
	return serve(Addresses{server.Address, server.ControlAddress}, server.Close)
}

type leafCommand struct {
	listenFlags
	Config string `required:"" help:"The leaf's configuration as JSON."`
	Log    string `help:"File to which the start and the end of each execution are appended as JSON lines."`
}

// Run serves until SIGTERM.
func (c *leafCommand) Run() error {
	var cfg leaf.Config
	if err := json.Unmarshal([]byte(c.Config), &cfg); err != nil {
		return fmt.Errorf("--config: %w", err)
	}
	l := leaf.New(cfg)
	if c.Log != "" {
		file, err := os.OpenFile(c.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer file.Close()
		encoder := json.NewEncoder(file)
		l.OnLog(func(e leaf.Execution) { _ = encoder.Encode(e) })
	}
	server, err := leaf.Serve(l, c.Listen, c.Control)
	if err != nil {
		return err
	}
	return serve(Addresses{server.Address, server.ControlAddress}, server.Close)
}

// serve prints the addresses and waits for SIGTERM or an interrupt.
func serve(a Addresses, stop func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := json.NewEncoder(os.Stdout).Encode(a); err != nil {
		return err
	}
	<-signals
	return stop()
}
