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

// syncBuffer is a buffer that may be read while it is written.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// The address that the demo prints must be served, and the counters at its end must include the requests to it.
func TestDemoServesItsPrintedAddress(t *testing.T) {
	var out syncBuffer
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, Options{Listen: "127.0.0.1:0", Servers: 3, Seed: 1}, log, &out) }()
	url := regexp.MustCompile(`curl -i (http://\S+)`)
	for i := 0; !url.MatchString(out.String()); i++ {
		if i > 500 {
			t.Fatalf("the demo did not print its address: %s", out.String())
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
	cancel()
	if err := <-ended; err != nil || succeeded < 18 || !strings.Contains(out.String(), "    tickets 20\n") ||
		!strings.Contains(out.String(), "    s-3: ") {
		t.Errorf("demo ended with error %v; %d of 20 requests succeeded; output: %s", err, succeeded, out.String())
	}
	if err := Run(ctx, Options{Servers: 0}, log, &out); err == nil || !strings.Contains(err.Error(), "allowed 1 to 200") {
		t.Errorf("demo without servers: got error %v, want the allowed number", err)
	}
}
