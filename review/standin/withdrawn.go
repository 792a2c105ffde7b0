package main

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["withdrawn"] = runWithdrawn }

const (
	withdrawals   = 3
	obeyWithin    = 5 * time.Second  // from "in force alone"; docs/agreement.md: 2 s, and the grace for drains is 1 s
	watchFor      = 20 * time.Second // how long tickets are sent after that
	ticketEvery   = 20 * time.Millisecond
	bannedServer  = "s-2"
	learnedMetric = "pepperlead_rules_learned_total"
)

const keeperConfig = `
[instance]
name = "k1"
[keep]
folder = "keep"
[[keeper]]
name = "k1"
log = "%s"
pages = "%s"
[peers]
listen = "%s"
cluster = "review"
key_file = "peers.key"
`

const sidecarConfig = `
[instance]
name = "%s"
instances = 2
[front.http]
listen = "%s"
[pages]
listen = "%s"
[peers]
listen = "%s"
cluster = "review"
key_file = "peers.key"
join = ["%s"]
agree = true
[[offering]]
name = "step"
quoted_time = "1s"
cut_off = "2s"
repeats = "reissuable"
default = true
[source]
kind = "fixed"
%s`

// version returns the text of a version, which differs from others by its count of instances.
func version(instances int, banned string) string {
	text := fmt.Sprintf("[fleet]\ninstances = %d\n[[offering]]\nname = \"step\"\nquoted_time = \"1s\"\ncut_off = \"2s\"\n"+
		"repeats = \"reissuable\"\n", instances)
	if banned != "" {
		text += fmt.Sprintf("[bans]\nservers = [%q]\n", banned)
	}
	return text
}

// hits records when requests came to a server, by the sidecar that their id names.
type hits struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (h *hits) serve(c *caseRun, name string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	h.at = map[string][]time.Time{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sender, _, _ := strings.Cut(r.Header.Get("X-Request-ID"), "-")
		h.mu.Lock()
		h.at[sender] = append(h.at[sender], time.Now())
		h.mu.Unlock()
		_, _ = io.WriteString(w, name) // an error means that the sidecar has left
	})
	go func() { _ = http.Serve(l, handler) }() // it serves until the process ends
	return l.Addr().String()
}

// after returns how many requests of a sidecar came after a time, and when the last of them did.
func (h *hits) after(sender string, since time.Time) (count int, last time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.at[sender] {
		if at.After(since) {
			count++
			last = at
		}
	}
	return count, last
}

// agreeing is a sidecar that goes by agreed rules.
type agreeing struct {
	name, front, pages string
	process            *process
	config             string
}

// metric returns a metric of the sidecar, -1 if it has none.
func (a *agreeing) metric(name string) float64 {
	_, text := get("http://" + a.pages + "/metrics")
	found := regexp.MustCompile(`(?m)^` + name + `(?:\{[^}]*\})? (\S+)$`).FindStringSubmatch(text)
	if found == nil {
		return -1
	}
	value, err := strconv.ParseFloat(found[1], 64)
	must(err)
	return value
}

func (a *agreeing) state() string {
	return fmt.Sprintf("%s: rules_version %v, rules_leased %v, rules_learned %v, rules_refused %v", a.name,
		a.metric("pepperlead_rules_version"), a.metric("pepperlead_rules_leased"), a.metric(learnedMetric),
		a.metric("pepperlead_rules_refused_total"))
}

// runWithdrawn applies a version that bans a server, and sends tickets to two sidecars from then on. With the
// disruption, three versions before it are applied and withdrawn.
func runWithdrawn(c *caseRun) (held bool, why string) {
	servers := map[string]*hits{"s-1": {}, bannedServer: {}, "s-3": {}}
	list := ""
	for name, h := range servers {
		list += fmt.Sprintf("[[source.server]]\nid = %q\naddress = %q\n", name, h.serve(c, name))
	}
	c.writeFile("peers.key", base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))+"\n")
	keeperPages, keeperPeers := freeAddress(), freeAddress()
	keeper := c.startProcess("k1", nil, "bin/pepperlead", "keep", "--config",
		c.writeFile("keeper.toml", fmt.Sprintf(keeperConfig, freeAddress(), keeperPages, keeperPeers)))
	var sidecars []*agreeing
	for _, name := range []string{"a", "b"} {
		s := &agreeing{name: name, front: freeAddress(), pages: freeAddress()}
		s.config = c.writeFile(name+".toml",
			fmt.Sprintf(sidecarConfig, name, s.front, s.pages, freeAddress(), keeperPeers, list))
		sidecars = append(sidecars, s)
		s.process = c.startSidecar(name, s.config)
		awaitHealthy(s.front, s.process)
	}
	await("leases", 20*time.Second, func() bool {
		return sidecars[0].metric("pepperlead_rules_leased") == 1 && sidecars[1].metric("pepperlead_rules_leased") == 1
	})
	number := 0
	apply := func(text, wait string) {
		number++
		file := c.writeFile(fmt.Sprintf("version-%d.toml", number), text)
		if _, err := c.tool("apply", file, "--to", keeperPages, "--wait", wait); err != nil {
			cannot("version %d could not be applied", number)
		}
	}
	for n := range withdrawals {
		if !c.trouble {
			break
		}
		apply(version(10+n, ""), "0s")
		end := time.Now().Add(1200 * time.Millisecond) // both learn it; it comes into force no sooner than in 1.5 s
		for time.Now().Before(end) && (sidecars[0].metric(learnedMetric) <= float64(n) ||
			sidecars[1].metric(learnedMetric) <= float64(n)) {
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := c.tool("withdraw", strconv.Itoa(number), "--to", keeperPages); err != nil {
			cannot("version %d could not be withdrawn", number)
		}
	}
	apply(version(2, bannedServer), "30s")
	inForce := time.Now()
	// Sidecar b starts anew, as a planned restart would have it; a runs on.
	sidecars[1].process.kill()
	sidecars[1].process = c.startSidecar("b", sidecars[1].config)
	awaitHealthy(sidecars[1].front, sidecars[1].process)

	sent := map[string]int{}
	for n := 0; time.Since(inForce) < watchFor; n++ {
		for _, s := range sidecars {
			status, _ := ask(s.front, http.MethodGet, "/step", "", map[string]string{
				"X-Request-ID": fmt.Sprintf("%s-%d", s.name, n), "X-Route-Key": fmt.Sprint("key-", n),
			})
			if status == http.StatusOK {
				sent[s.name]++
			}
		}
		time.Sleep(ticketEvery)
	}
	_, versions := get("http://" + keeperPages + "/_versions")
	c.note("keeper: %s", versions)
	why = "held: no sidecar sent the banned server anything later than " + obeyWithin.String()
	held = true
	for _, s := range sidecars {
		late, last := servers[bannedServer].after(s.name, inForce.Add(obeyWithin))
		c.note("%s", s.state())
		c.note("%s: %d tickets answered 200; server %s, banned, got %d of them later than %v after the version was "+
			"in force alone", s.name, sent[s.name], bannedServer, late, obeyWithin)
		if sent[s.name] < 100 {
			cannot("only %d tickets of sidecar %s were answered", sent[s.name], s.name)
		}
		if late > 0 {
			held = false
			why = fmt.Sprintf("broken: sidecar %s sent the banned server %d tickets later than %v after the version "+
				"was in force alone, the last %v after it (%s)", s.name, late, obeyWithin,
				last.Sub(inForce).Round(time.Millisecond), s.state())
		}
	}
	c.copyLog(keeper)
	for _, s := range sidecars {
		c.copyLog(s.process)
	}
	return held, why
}
