package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/examples"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/entry/instance"
	"lacewingramp.example/lacewingramp/internal/platform/memory"
	"lacewingramp.example/lacewingramp/internal/platform/target"
	"lacewingramp.example/lacewingramp/internal/report/page"
)

// waitTimeout is how long a test waits for an expected event. Measured durations are
// printed and have no maximum.
const waitTimeout = 60 * time.Second

const pollInterval = 50 * time.Millisecond

// process is a running program.
type process struct {
	command *exec.Cmd
	done    chan error
}

func start(name string, args ...string) *process {
	p := &process{command: exec.Command(filepath.Join(programs, name), args...), done: make(chan error, 1)}
	p.command.Stderr = ginkgo.GinkgoWriter
	gomega.Expect(p.command.Start()).To(gomega.Succeed())
	go func() { p.done <- p.command.Wait() }()
	return p
}

func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) signal(s syscall.Signal) {
	gomega.Expect(p.command.Process.Signal(s)).To(gomega.Succeed())
}

// entry is an entry instance that runs as a process, with the addresses at which it
// listens for callers, peers and operators.
type entry struct {
	*process

	name     string
	domain   string
	caller   string
	peer     string
	operator string
}

// deployment is a store, targets and entry instances, each in a process of its own.
type deployment struct {
	dir      string
	store    string
	table    *lacewingramp.Table
	file     string
	entries  []*entry
	standins []*process
	serial   int
}

// Ports are chosen below the system's ephemeral ports, so that no outgoing connection
// can take a port between its choice and its use.
const (
	firstPort = 15000
	ports     = 15000
	portStep  = 97
)

var nextPort = os.Getpid() * portStep % ports

func freeAddress() string {
	for range ports {
		nextPort = (nextPort + 1) % ports
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		gomega.Expect(l.Close()).To(gomega.Succeed())
		return address
	}
	ginkgo.Fail("no free port")
	return ""
}

// deploy starts a deployment with the bank's table and an instance for each of the
// domains, which may occur more than once.
func deploy(domains ...string) *deployment {
	d := &deployment{dir: ginkgo.GinkgoT().TempDir(), store: freeAddress()}
	ginkgo.DeferCleanup(d.close)
	t, err := sheet.Decode("table.csv", bytes.NewReader(examples.Bank))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	t.Caps = nil
	keepDomains(t, domains)
	for i := range t.Targets {
		t.Targets[i].Address = freeAddress()
	}
	d.table = t
	d.file = d.writeTable(t)
	d.standins = append(d.standins, start("standin", "store", d.store))
	d.standins = append(d.standins, start("standin", "targets", d.file))
	gomega.Eventually(func() error { return d.command("table", "put", d.file).run() }, waitTimeout, pollInterval).Should(gomega.Succeed())
	for _, name := range domains {
		d.startInstance(name)
	}
	d.waitReady()
	return d
}

// keepDomains removes the failure domains without an instance from the table, so
// that the shares of the others add up to the whole limits.
func keepDomains(t *lacewingramp.Table, domains []string) {
	t.Domains = slices.DeleteFunc(t.Domains, func(d lacewingramp.Domain) bool { return !slices.Contains(domains, d.Name) })
	t.Targets = slices.DeleteFunc(t.Targets, func(k lacewingramp.Target) bool { return !slices.Contains(domains, k.Domain) })
}

func (d *deployment) writeTable(t *lacewingramp.Table) string {
	d.serial++
	name := filepath.Join(d.dir, fmt.Sprintf("table-%d.csv", d.serial))
	var b bytes.Buffer
	gomega.Expect(sheet.Encode(&b, t)).To(gomega.Succeed())
	gomega.Expect(os.WriteFile(name, b.Bytes(), 0o600)).To(gomega.Succeed())
	return name
}

// command is a run of the command-line program.
type command struct {
	cmd *exec.Cmd
	out bytes.Buffer
	err bytes.Buffer
}

func (d *deployment) command(args ...string) *command {
	c := &command{cmd: exec.Command(filepath.Join(programs, "lacewingramp"), args...)}
	c.cmd.Env = append(os.Environ(), "LACEWINGRAMP_STORE=http://"+d.store, "LACEWINGRAMP_OPERATOR=test")
	c.cmd.Stdout, c.cmd.Stderr = &c.out, &c.err
	return c
}

func (c *command) run() error {
	if err := c.cmd.Run(); err != nil {
		return fmt.Errorf("%w: %s", err, c.err.String())
	}
	return nil
}

func (d *deployment) seedArgs() []string {
	var args []string
	for _, e := range d.entries {
		args = append(args, "--seed", e.peer)
	}
	return args
}

// startInstance starts an instance.
func (d *deployment) startInstance(domain string) *entry {
	d.serial++
	e := &entry{
		name: fmt.Sprintf("%s-%d", domain, d.serial), domain: domain,
		caller: freeAddress(), peer: freeAddress(), operator: freeAddress(),
	}
	args := []string{
		"entry", "--name", e.name, "--domain", domain, "--store", "http://" + d.store, "--log", "warn",
		"--caller", e.caller, "--peer", e.peer, "--operator-listen", e.operator,
	}
	e.process = start("lacewingramp", append(args, d.seedArgs()...)...)
	d.entries = append(d.entries, e)
	return e
}

// removeInstance removes an instance that has stopped from the deployment.
func (d *deployment) removeInstance(e *entry) {
	for i, o := range d.entries {
		if o == e {
			d.entries = append(d.entries[:i], d.entries[i+1:]...)
			return
		}
	}
}

func getJSON(url string, out any) error {
	c := http.Client{Timeout: 2 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

func (e *entry) report() page.Page {
	var p page.Page
	_ = getJSON("http://"+e.operator+"/report", &p)
	return p
}

func (e *entry) audit() []instance.Taken {
	var all []instance.Taken
	_ = getJSON("http://"+e.operator+"/audit", &all)
	return all
}

// waitReady waits until every instance is serving, every shard is held, and each
// instance has heard from all others.
func (d *deployment) waitReady() {
	gomega.Eventually(d.notReadyReason, waitTimeout, pollInterval).Should(gomega.BeEmpty())
}

func (d *deployment) notReadyReason() string {
	held := make(map[string]int)
	for _, e := range d.entries {
		p := e.report()
		if p.Life != "serving" || p.Suspended {
			return e.name + " is not serving"
		}
		held[e.domain] += len(p.Shards)
		live := 0
		for _, k := range p.Instances {
			if k.Live && !k.Leaving {
				live++
			}
		}
		if live < len(d.entries)-1 {
			return fmt.Sprintf("%s has heard from %d other instances", e.name, live)
		}
	}
	for name, n := range held {
		if n != 16 {
			return fmt.Sprintf("%s holds %d shards", name, n)
		}
	}
	return ""
}

func (d *deployment) callers() []string {
	var all []string
	for _, e := range d.entries {
		all = append(all, e.caller)
	}
	return all
}

func (d *deployment) keys() map[string]string {
	keys := make(map[string]string)
	for _, u := range d.table.Customers {
		keys[u.Name] = examples.KeyPrefix + u.Name
	}
	return keys
}

func postJSON(url string, in any) {
	raw, err := json.Marshal(in)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
}

func (d *deployment) setFaults(f memory.Faults) {
	postJSON("http://"+d.store+"/faults", f)
}

// runs returns the sums of the statistics of all targets.
func (d *deployment) runs() target.Runs {
	sum := target.Runs{Keys: make(map[string]int)}
	for _, t := range d.table.Targets {
		var r target.Runs
		if getJSON("http://"+t.Address+"/runs", &r) != nil {
			continue
		}
		sum.Started += r.Started
		sum.Over += r.Over
		sum.Authorized += r.Authorized
		sum.Crashes += r.Crashes
		for k, n := range r.Keys {
			sum.Keys[k] += n
		}
	}
	return sum
}

func (d *deployment) close() {
	for _, e := range d.entries {
		e.kill()
	}
	for _, p := range d.standins {
		p.kill()
	}
}

func revisionOf(out string) string {
	_, rest, _ := strings.Cut(out, "revision ")
	number, _, _ := strings.Cut(rest, " ")
	return number
}
