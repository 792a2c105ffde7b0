package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Figures of the pages.
const (
	drainedAfter = time.Second     // no drained server should get new work after 1 s
	spoiltFor    = 8 * time.Second // how long the truncated file stays
)

// listFile returns a list file without its closing table.
func listFile(endpoints []*endpoint, state map[string]string) string {
	var text strings.Builder
	for _, e := range endpoints {
		fmt.Fprintf(&text, "[[server]]\nid = %q\naddress = %q\nzone = %q\npod = %d\n", e.uid, e.address, e.zone, e.pod)
		if state[e.uid] != "" {
			fmt.Fprintf(&text, "state = %q\n", state[e.uid])
		}
		text.WriteString("\n")
	}
	return text.String()
}

// putSealed writes a list file beside its place, seals it by the project's own command, and renames it.
func (s *scene) putSealed(path, text string, issue int) {
	fresh := path + ".fresh"
	must(os.WriteFile(fresh, []byte(text), 0o600))
	seal := exec.Command(filepath.Join(s.root, "bin", "pepperlead"), "list", "seal", "--issue", fmt.Sprint(issue), fresh)
	if out, err := seal.CombinedOutput(); err != nil {
		s.unable("list seal: %v: %s", err, out)
	}
	must(os.Rename(fresh, path))
	s.say("%s is replaced, sealed, issue %d", filepath.Base(path), issue)
}

// drainBesideSpoiltFile: a server is drained in one list file, while an editor has left another one truncated.
func drainBesideSpoiltFile(s *scene) {
	var north, south []*endpoint
	for i := range 4 {
		north = append(north, startEndpoint(s, fmt.Sprintf("n-%d", i+1), "oslo-nord", 1, 20*time.Millisecond))
		south = append(south, startEndpoint(s, fmt.Sprintf("t-%d", i+1), "trondheim", 2, 20*time.Millisecond))
	}
	folder := filepath.Join(s.dir, "servers.d")
	must(os.Mkdir(folder, 0o700))
	northFile, southFile := filepath.Join(folder, "nord.toml"), filepath.Join(folder, "trondheim.toml")
	s.putSealed(northFile, listFile(north, nil), 1)
	s.putSealed(southFile, listFile(south, nil), 1)
	listen := freeAddress()
	config := filepath.Join(s.dir, "sidecar.toml")
	must(os.WriteFile(config, []byte(fmt.Sprintf(`[instance]
name = "desk-1"
zone = "oslo-nord"
zones = ["oslo-nord", "trondheim"]
[front.http]
listen = %q
[[offering]]
name = "hent-manus"
credit = 5.0
late_credit = 0.2
quoted_time = "1.5s"
cut_off = "4s"
repeats = "reissuable"
[[offering]]
name = "lagre-utfall"
credit = 3.0
late_credit = 0.5
quoted_time = "1s"
cut_off = "5s"
repeats = "numbered"
group = "zone"
window = "3s"
[source]
kind = "files"
files = ["servers.d/*.toml"]
`, listen)), 0o600))
	s.startSidecar("sidecar", "--config "+config, []string{"TMPDIR=" + s.dir}, nil)
	if !waitHealthy(listen, 10*time.Second) {
		s.unable("the sidecar is not ready")
	}
	clients := startCrowd(s, listen, 12, 150*time.Millisecond, hentManus, lagreUtfall)
	time.Sleep(2 * time.Second)

	whole, err := os.ReadFile(southFile)
	must(err)
	spoilt := func() {
		// An editor writes in place: it truncates the file, and what it writes ends in the middle of a server.
		must(os.WriteFile(southFile, whole[:len(whole)/2], 0o600))
		s.say("trondheim.toml is truncated")
	}
	if s.trouble {
		spoilt()
	}
	time.Sleep(time.Second)
	drained := north[0]
	before := drained.count()
	s.putSealed(northFile, listFile(north, map[string]string{drained.uid: "draining"}), 2)
	drainedAt := time.Now()
	time.Sleep(spoiltFor - time.Second)
	late := len(drained.since(drainedAt.Add(drainedAfter + socketSlack)))
	if s.trouble {
		must(os.WriteFile(southFile, whole, 0o600))
		s.say("trondheim.toml is whole again")
	}
	time.Sleep(2 * time.Second)
	results := clients.end()
	after := len(drained.since(time.Now().Add(-900 * time.Millisecond)))
	s.say("%d requests, %d served; n-1 had %d before its drain, %d later than 1.05s after it, %d in the last 0.9s", len(results),
		served(results), before, late, after)
	if served(results) < len(results)/2 || before == 0 {
		s.unable("too little was served")
	}
	if late > 0 {
		s.say("BROKEN: no drained server gets new work after 1 s")
		s.end(exitBroken)
	}
	s.say("held")
	s.end(exitHeld)
}
