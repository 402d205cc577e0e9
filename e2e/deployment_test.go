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

// patience is how long a test waits for what must happen. What it measures is
// printed; no bound is put on a wall time.
const patience = 60 * time.Second

const period = 50 * time.Millisecond

// process is a program that runs.
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

// entry is an entry instance that runs as a process.
type entry struct {
	*process

	name     string
	domain   string
	caller   string
	peer     string
	operator string
}

// deployment is a store, targets and entry instances.
type deployment struct {
	dir     string
	store   string
	table   *lacewingramp.Table
	file    string
	entries []*entry
	others  []*process
	serial  int
}

// Ports are taken from below those that the system gives to connections, so
// that none is lost between its choice and its use.
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

// deploy starts the bank's table with an instance for each named domain.
func deploy(domains ...string) *deployment {
	d := &deployment{dir: ginkgo.GinkgoT().TempDir(), store: freeAddress()}
	ginkgo.DeferCleanup(d.close)
	t, err := sheet.Decode("table.csv", bytes.NewReader(examples.Bank))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	t.Caps = nil
	only(t, domains)
	for i := range t.Targets {
		t.Targets[i].Address = freeAddress()
	}
	d.table = t
	d.file = d.write(t)
	d.others = append(d.others, start("standin", "store", d.store))
	d.others = append(d.others, start("standin", "targets", d.file))
	gomega.Eventually(func() error { return d.command("table", "put", d.file).run() }, patience, period).Should(gomega.Succeed())
	for _, name := range domains {
		d.join(name)
	}
	d.ready()
	return d
}

// only leaves the failure domains that have an instance, so that the limits
// are whole.
func only(t *lacewingramp.Table, domains []string) {
	t.Domains = slices.DeleteFunc(t.Domains, func(d lacewingramp.Domain) bool { return !slices.Contains(domains, d.Name) })
	t.Targets = slices.DeleteFunc(t.Targets, func(k lacewingramp.Target) bool { return !slices.Contains(domains, k.Domain) })
}

func (d *deployment) write(t *lacewingramp.Table) string {
	d.serial++
	name := filepath.Join(d.dir, fmt.Sprintf("table-%d.csv", d.serial))
	var b bytes.Buffer
	gomega.Expect(sheet.Encode(&b, t)).To(gomega.Succeed())
	gomega.Expect(os.WriteFile(name, b.Bytes(), 0o600)).To(gomega.Succeed())
	return name
}

// command is one run of the command line.
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

func (d *deployment) seeds() []string {
	var args []string
	for _, e := range d.entries {
		args = append(args, "--seed", e.peer)
	}
	return args
}

// join starts another instance.
func (d *deployment) join(domain string) *entry {
	d.serial++
	e := &entry{
		name: fmt.Sprintf("%s-%d", domain, d.serial), domain: domain,
		caller: freeAddress(), peer: freeAddress(), operator: freeAddress(),
	}
	args := []string{
		"entry", "--name", e.name, "--domain", domain, "--store", "http://" + d.store, "--log", "warn",
		"--caller", e.caller, "--peer", e.peer, "--operator-listen", e.operator,
	}
	e.process = start("lacewingramp", append(args, d.seeds()...)...)
	d.entries = append(d.entries, e)
	return e
}

// leave forgets an instance that has ended.
func (d *deployment) leave(e *entry) {
	for i, o := range d.entries {
		if o == e {
			d.entries = append(d.entries[:i], d.entries[i+1:]...)
			return
		}
	}
}

func get(url string, out any) error {
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
	_ = get("http://"+e.operator+"/report", &p)
	return p
}

func (e *entry) audit() []instance.Taken {
	var all []instance.Taken
	_ = get("http://"+e.operator+"/audit", &all)
	return all
}

// ready waits until every shard is held and all instances know each other.
func (d *deployment) ready() {
	gomega.Eventually(d.unready, patience, period).Should(gomega.BeEmpty())
}

func (d *deployment) unready() string {
	held := make(map[string]int)
	for _, e := range d.entries {
		p := e.report()
		if p.Life != "serving" || p.Suspended {
			return e.name + " does not serve"
		}
		held[e.domain] += len(p.Shards)
		live := 0
		for _, k := range p.Instances {
			if k.Live && !k.Leaving {
				live++
			}
		}
		if live < len(d.entries)-1 {
			return fmt.Sprintf("%s knows %d others", e.name, live)
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

func post(url string, in any) {
	raw, err := json.Marshal(in)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
}

func (d *deployment) faults(f memory.Faults) {
	post("http://"+d.store+"/faults", f)
}

// runs adds up what all targets have seen.
func (d *deployment) runs() target.Runs {
	sum := target.Runs{Keys: make(map[string]int)}
	for _, t := range d.table.Targets {
		var r target.Runs
		if get("http://"+t.Address+"/runs", &r) != nil {
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
	for _, p := range d.others {
		p.kill()
	}
}

func revisionOf(out string) string {
	_, rest, _ := strings.Cut(out, "revision ")
	number, _, _ := strings.Cut(rest, " ")
	return number
}
