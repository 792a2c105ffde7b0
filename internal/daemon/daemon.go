// Package daemon starts a sidecar from what it is told and ends it when it is told to.
package daemon

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/campaign"
	"pepperlead/internal/proto"
	"pepperlead/policy"
)

const (
	bufferPercent = 35                       // of the memory allowed, for messages in hand
	heapPart      = 0.6                      // the garbage collector keeps the heap under it
	acceptFor     = 450 * policy.Millisecond // after SIGTERM: 50 ms more than clients are said to come
	longest       = 3 * policy.Second        // cut-off that is waited for after SIGTERM
)

// Read makes a post of the configuration in the file, and of what the environment says of the same.
func Read(path string, env func(string) string) (proto.Post, error) {
	var post proto.Post
	b, err := os.ReadFile(path)
	if err != nil {
		return post, err
	}
	var told struct {
		Listen, Discovery, Seed string
		Limits                  struct {
			Memory  float64 `json:"memory_mb"`
			Sockets int
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(b, &told); err != nil {
		return post, fmt.Errorf("%s: %w", path, err)
	}
	first := func(name, value string) string {
		if v := env(name); v != "" {
			return v
		}
		return value
	}
	post.Listen, post.Discovery = first("GW_LISTEN", told.Listen), first("GW_DISCOVERY", told.Discovery)
	if post.Listen == "" || post.Discovery == "" {
		return post, fmt.Errorf("%s: listen or discovery is missing", path)
	}
	if post.Seed, err = strconv.ParseUint(told.Seed, 16, 64); err != nil {
		return post, fmt.Errorf("%s: seed: %q is not a hexadecimal number of 64 bits", path, told.Seed)
	}
	if told.Limits.Sockets < 48 || !(told.Limits.Memory >= 24) {
		return post, fmt.Errorf("%s: limits: at least 48 sockets and 24 MB are needed", path)
	}
	values := &campaign.Values{Of: map[string]string{}}
	if err := flatten(values.Of, "", told.Settings); err != nil {
		return post, fmt.Errorf("%s: settings: %w", path, err)
	}
	post.Descriptors = told.Limits.Sockets
	post.Memory = int(told.Limits.Memory * (1 << 20))
	post.ConnectIn = values.Span("limits.connect_timeout_s")
	post.IdleFor = values.Span("limits.conn_idle_s")
	post.Accept = acceptFor
	for n := range values.Count("offerings.count") {
		post.Leave = max(post.Leave, values.Span("offerings."+strconv.Itoa(n)+".cut_off_s"))
	}
	// SIGKILL comes 0.7 s after the longest cut-off, so this leaves 250 ms.
	post.Leave = min(post.Leave, longest) + acceptFor
	post.Known = told.Known
	if post.Campaign, err = campaign.Read(values); err != nil {
		return post, fmt.Errorf("%s: settings: %w", path, err)
	}
	return post, nil
}

// flatten gives each value its path, as the simulator's wire does.
func flatten(to map[string]string, at string, raw json.RawMessage) error {
	var object map[string]json.RawMessage
	var list []json.RawMessage
	var word string
	switch v := strings.TrimSpace(string(raw)); {
	case v == "" || v == "null":
	case v[0] == '{':
		if err := json.Unmarshal(raw, &object); err != nil {
			return err
		}
		for name, of := range object {
			if err := flatten(to, strings.TrimPrefix(at+"."+name, "."), of); err != nil {
				return err
			}
		}
	case v[0] == '[':
		if err := json.Unmarshal(raw, &list); err != nil {
			return err
		}
		to[at+".count"] = strconv.Itoa(len(list))
		var words []string
		for i, of := range list {
			if err := flatten(to, at+"."+strconv.Itoa(i), of); err != nil {
				return err
			}
			words = append(words, strings.ReplaceAll(to[at+"."+strconv.Itoa(i)], ",", "_"))
		}
		to[at] = strings.Join(words, ",")
	case v[0] == '"':
		if err := json.Unmarshal(raw, &word); err != nil {
			return err
		}
		to[at] = word
	default:
		to[at] = v
	}
	return nil
}

// Serve runs a sidecar from the configuration in the file until it is told to end.
func Serve(post proto.Post, path string, log *logrus.Logger) error {
	// One thread may stand in the kernel waiting for sockets while another works, also where there is one core: with
	// one alone the loop would start only when the runtime notices, up to 10 ms later.
	runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0)))
	debug.SetMemoryLimit(int64(float64(post.Memory) * heapPart))
	post.Memory = post.Memory * bufferPercent / 100
	// What the sidecar may hold is kept by itself; the kernel keeps it where clients come faster than they are told so.
	limit := syscall.Rlimit{Cur: uint64(post.Descriptors), Max: uint64(post.Descriptors)}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.WithError(err).Warn("the limit on descriptors cannot be set")
	}
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	fresh := make(chan proto.Post)
	go reread(path, post, again, fresh, log)
	s := proto.New(post, log)
	if err := s.Run(stop, fresh); err != nil {
		return err
	}
	log.Info("end: " + strings.ReplaceAll(strings.TrimSpace(s.Report()), "\n", ", "))
	return nil
}

// reread reads the file anew at each signal and hands on what can be served. Reading takes its time, so the loop is not held
// up by it.
func reread(path string, now proto.Post, again <-chan os.Signal, fresh chan<- proto.Post, log *logrus.Logger) {
	inFile, _ := Read(path, func(string) string { return "" })
	for range again {
		next, err := Read(path, func(name string) string {
			if name == "GW_DISCOVERY" {
				return "" // the environment is as old as the process; what the file says now is newer
			}
			return os.Getenv(name)
		})
		if err != nil {
			// A mistake in the file must not end what serves.
			log.WithError(err).Error("new configuration: left out, the old one stays")
			continue
		}
		if next.Discovery != inFile.Discovery {
			inFile.Discovery, now.Discovery = next.Discovery, next.Discovery
		}
		next.Discovery = now.Discovery
		next.Memory = next.Memory * bufferPercent / 100
		fresh <- next
	}
}
