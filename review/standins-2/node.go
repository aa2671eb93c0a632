package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// Site describes the deployment that the template of the settings is filled from.
type Site struct {
	Bounds  map[string]string
	Zones   [][2]string // zone, region
	Limits  map[string]string
	Network string // the first three numbers of the machines' addresses
}

// Node is a machine with one entry process.
type Node struct {
	Name, Zone, Region, IP string
	Front, Ready, Dir      string

	root, settings string
	rec            *Record

	mu      sync.Mutex
	process *os.Process
	wanted  bool
	started time.Time
	log     *os.File
	done    chan struct{}
}

// ports are the same on all machines.
var ports = map[string]int{"front": 18226, "ready": 18227, "directory": 18225, "peer": 18240}

// NewNode writes the settings of a machine from the template in the repository.
func NewNode(root, folder string, site Site, index int, store string, rec *Record) (*Node, error) {
	zone := site.Zones[index%len(site.Zones)]
	ip := fmt.Sprintf("%s.%d", site.Network, 11+index)
	n := &Node{Name: fmt.Sprintf("frontend-%s-%d", zone[0], 1+index/len(site.Zones)), Zone: zone[0], Region: zone[1], IP: ip, root: root, rec: rec,
		Front: fmt.Sprintf("%s:%d", ip, ports["front"]), Ready: fmt.Sprintf("%s:%d", ip, ports["ready"]), Dir: fmt.Sprintf("%s:%d", ip, ports["directory"])}
	values := map[string]string{"node_name": n.Name, "zone": zone[0], "region": zone[1], "ip": ip, "listen.front": n.Front, "listen.ready": n.Ready,
		"listen.directory": n.Dir, "internal_ports.0": fmt.Sprint(ports["peer"]), "platform.address": store}
	for key, value := range site.Bounds {
		values["bounds."+key] = value
	}
	for key, value := range site.Limits {
		values["limits."+key] = value
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.toml"))
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(folder, n.Name+".toml")
	if err := os.WriteFile(n.settings, []byte(render(string(template), values, site.Zones)), 0o644); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(folder, n.Name+".log"))
	return n, err
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/[a-z_.]+\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the template as the platform does.
func render(template string, values map[string]string, zones [][2]string) string {
	text := section.ReplaceAllStringFunc(template, func(whole string) string {
		m := section.FindStringSubmatch(whole)
		if m[1] == "zones" {
			lines := ""
			for _, z := range zones {
				lines += strings.NewReplacer("{{@}}", z[0], "{{.}}", z[1]).Replace(m[2])
			}
			return lines
		}
		value := values[m[1]]
		if value == "" || value == "false" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[placeholder.FindStringSubmatch(p)[1]] })
}

// Start starts the process and keeps it running until Kill, Term or Stop.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.start()
}

func (n *Node) start() error {
	cmd := exec.Command(filepath.Join(n.root, "target", "cyclamenstream"), "entry")
	cmd.Dir = n.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENSTREAM_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process, n.wanted, n.started, n.done = cmd.Process, true, time.Now(), make(chan struct{})
	n.rec.Printf("machine %s starts", n.Name)
	go func(done chan struct{}) {
		err := cmd.Wait()
		n.rec.Printf("machine %s: the process has ended: %v", n.Name, err)
		close(done)
	}(n.done)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rec.Printf("machine %s: signal %v", n.Name, s)
	_ = n.process.Signal(s)
}

// Restart waits for the end of the process and starts it again.
func (n *Node) Restart() error {
	<-n.done
	time.Sleep(restartDelay)
	return n.Start()
}

// Stop ends the process for good.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Kill()
		<-n.done
	}
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports are free.
func freeNetwork(machines int) (string, error) {
	for try := range 200 {
		network := fmt.Sprintf("127.%d.%d", 30+(os.Getpid()+try)%200, 1+(os.Getpid()/7+try*3)%250)
		if portsFree(network, machines) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func portsFree(network string, machines int) bool {
	for i := range machines {
		for _, port := range append([]int{9464}, ports["front"], ports["ready"], ports["directory"], ports["peer"]) {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, 11+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
