package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// lines is a writer that may be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// The addresses that the demo prints are served, and the requests to them are counted at its end.
func TestDemoServesWhatItPrints(t *testing.T) {
	var out lines
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, Options{Listen: "127.0.0.1:0", Servers: 3, Seed: 1}, log, &out) }()
	url := regexp.MustCompile(`curl -i (http://\S+)`)
	for i := 0; !url.MatchString(out.String()); i++ {
		if i > 500 {
			t.Fatal(out.String())
		}
		time.Sleep(10 * time.Millisecond)
	}
	succeeded := 0
	for range 20 {
		answer, err := http.Get(url.FindStringSubmatch(out.String())[1])
		if err != nil {
			t.Fatal(err)
		}
		if answer.Body.Close(); answer.StatusCode == 200 && strings.HasPrefix(answer.Header.Get("X-Made-By"), "s-") {
			succeeded++
		}
	}
	end()
	if err := <-ended; err != nil || succeeded < 18 || !strings.Contains(out.String(), "    tickets 20\n") ||
		!strings.Contains(out.String(), "    s-3: ") {
		t.Errorf("%v, %d succeeded: %s", err, succeeded, out.String())
	}
	if err := Run(ctx, Options{Servers: 0}, log, &out); err == nil || !strings.Contains(err.Error(), "allowed 1 to 200") {
		t.Error(err)
	}
}
