package httpproxy

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// quickCheck runs a property test with a fixed seed.
func quickCheck(t *testing.T, seed int64, f any) {
	t.Helper()
	if err := quick.Check(f, &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(seed))}); err != nil {
		t.Error(err)
	}
}

// randomChunks encodes the body in chunks of random sizes.
func randomChunks(r *rand.Rand, body []byte) []byte {
	var out []byte
	for len(body) > 0 {
		n := 1 + r.Intn(len(body))
		out = append(out, fmt.Sprintf("%x;note=1\r\n%s\r\n", n, body[:n])...)
		body = body[n:]
	}
	return append(out, "0\r\nTrailer: x\r\n\r\n"...)
}

// randomMessage returns a random body, and a message with this body without its first line.
func randomMessage(r *rand.Rand) (body, rest []byte) {
	body = make([]byte, r.Intn(300))
	r.Read(body)
	if r.Intn(2) == 0 {
		return body, append([]byte("Host: a\r\nTransfer-Encoding: chunked\r\n\r\n"), randomChunks(r, body)...)
	}
	return body, append([]byte(fmt.Sprintf("Host: a\r\ncontent-length:  %d \r\n\r\n", len(body))), body...)
}

// Every proper prefix of a message is incomplete, and the whole message is parsed even if more bytes follow. The chunks that were measured
// in one prefix are not measured again in the next one.
func TestMessagePrefixesAreIncomplete(t *testing.T) {
	quickCheck(t, 1, func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		body, rest := randomMessage(r)
		request := append([]byte("POST /step/a?b=1 HTTP/1.1\r\n"), rest...)
		response := append([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"), rest...)
		var ofRequest, ofResponse connstate.WholeChunks
		for i := range request {
			if got, status := parseRequest(bytes.Clone(request[:i]), maxBody, &ofRequest); got.length != 0 || status != 0 {
				return false
			}
		}
		for i := range response {
			if got, ok := parseResponse(bytes.Clone(response[:i]), false, false, maxBody, &ofResponse); got.length != 0 || !ok {
				return false
			}
			if got, ok := parseResponse(bytes.Clone(response[:i]), true, false, maxBody, new(connstate.WholeChunks)); got.length != 0 || ok {
				return false // a truncated response is never complete
			}
		}
		parsed, status := parseRequest(append(bytes.Clone(request), "GET"...), maxBody, &ofRequest)
		reply, ok := parseResponse(append(bytes.Clone(response), '!'), false, false, maxBody, &ofResponse)
		return parsed.length == len(request) && string(parsed.method) == "POST" && string(parsed.target) == "/step/a?b=1" &&
			!parsed.closeAfter && status == 0 && bytes.Equal(parsed.body, body) && reply.length == len(response) &&
			reply.status == 200 && bytes.Equal(reply.body, body) && reply.reusable && ok
	})
}

func TestStatusOfMalformedRequests(t *testing.T) {
	long := strings.Repeat("x", maxHead)
	for in, want := range map[string]int{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n":                                                         0,
		"GET / HTTP/1.0\r\nHost: a\r\n\r\n":                                                         0,
		"GET / HTTP/1.1\r\n\r\n":                                                                    400,
		"GET / HTTP/2.0\r\nHost: a\r\n\r\n":                                                         400,
		"GET  / HTTP/1.1\r\nHost: a\r\n\r\n":                                                        400,
		"GET a HTTP/1.1\r\nHost: a\r\n\r\n":                                                         400,
		"GET /\r\nHost: a\r\n\r\n":                                                                  400,
		"GET / HTTP/1.1\nHost: a\n\n\r\n\r\n":                                                       400,
		"GET / HTTP/1.1\r\nHost: a\r\nA b: c\r\n\r\n":                                               400,
		"GET / HTTP/1.1\r\nHost: a\r\nA : c\r\n\r\n":                                                400,
		"GET / HTTP/1.1\r\nHost: a\r\nA: c\r\n folded\r\n\r\n":                                      400,
		"GET / HTTP/1.1\r\nHost: a\r\nA: c\nB: d\r\n\r\n":                                           400,
		"GET / HTTP/1.1\r\nHost: a\r\nA: c\x00\r\n\r\n":                                             400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n":                                   400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n":                                   400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab":             400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n": 400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                     400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                     400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n":               400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n":               413,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n":                               413,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999999999999999\r\n\r\n": 400,
		"GET / HTTP/1.1\r\nHost: a\r\nA: " + long + "\r\n\r\n":                                      431,
		"GET /" + long:                                        431,
		"\x16\x03\x01\x02\x00\x01\x00":                        400, // a TLS client
		strings.Repeat("A", 64):                               400,
		"GET http://a.b:1/step?x HTTP/1.1\r\nHost: a\r\n\r\n": 0,
		"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
		"{\"json\":1}":                        400,
		"G@T / HTTP/1.1\r\nHost: a\r\n\r\n":   400,
		"GET /\x7f HTTP/1.1\r\nHost: a\r\n\r": 0, // the head is incomplete; it is refused once it is complete
	} {
		if _, status := parseRequest([]byte(in), maxBody, new(connstate.WholeChunks)); status != want {
			t.Errorf("%.80q: status %d, want %d", in, status, want)
		}
	}
}

func TestOutcomesOfResponses(t *testing.T) {
	for in, want := range map[string]policy.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                                         policy.Succeeded,
		"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n":                                                         policy.Errored,
		"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n":                                   policy.Rejected,
		"HTTP/1.1 504 No\r\nx-not-processed: 1\r\nContent-Length: 0\r\n\r\n":                                   policy.Rejected,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                                         policy.Errored,
		"HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n":                                   policy.Errored,
		"HTTP/1.1 204 None\r\n\r\n":                                                                            policy.Errored,
		"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno":                                                       policy.Declined,
		"HTTP/1.1 429 No\r\nContent-Length: 2\r\n\r\nno":                                                       policy.Errored,
		"HTTP/1.1 200 OK\r\nX-Load: \x01{\r\nContent-Length: 0\r\n\r\n":                                        policy.Succeeded,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 102 P\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": policy.Succeeded,
		"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n":                                                     policy.ConnectionLost,
		"HTTP/1.1 200\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab":                                     policy.ConnectionLost,
		"HTTP/1.1 20 OK\r\n\r\n":                                                                               policy.ConnectionLost,
		"SSH-2.0-x\r\n\r\n":                                                                                    policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n":                                           policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHead) + "\r\n\r\n":                                   policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r":                    policy.ConnectionLost,
	} {
		got := policy.ConnectionLost
		if response, ok := parseResponse([]byte(in), false, false, maxBody, new(connstate.WholeChunks)); ok && response.length > 0 {
			got = outcomeOf(response.status, response.headers)
		}
		if got != want {
			t.Errorf("%.80q: got outcome %d, want %d", in, got, want)
		}
	}
	in := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end"
	response, ok := parseResponse([]byte(in), true, false, maxBody, new(connstate.WholeChunks))
	if response.length == 0 || string(response.body) != "to the end" || response.reusable || !ok {
		t.Errorf("response whose body ends with the connection: got %+v, ok %v", response, ok)
	}
}

// Input that cannot become a response is detected while it is incomplete, as the endpoint may send no more and leave the connection open.
func TestMalformedResponsesAreDetectedEarly(t *testing.T) {
	for _, in := range []string{"\x93\x0c", "HTTQ", "ICY 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 OK 200\r\nA: b",
		"HTTP/1.1 200 OK\r\nno colon here\r\nA", "HTTP/1.1 200 OK\r\nA: \x00\r\n", "HTTP/1.1 200 OK\r\n\r\nand no length",
		"HTTP/1.1 500 Oh\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\n",
		"HTTP/1.1 " + strings.Repeat("2", 300), strings.Repeat("HTTP/1.1 102 P\r\n\r\n", maxHead/18+1),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 99)+"\r\na\r\n", 6000),
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppppppp\r\n", maxHead/21+1)} {
		if _, ok := parseResponse([]byte(in), false, false, maxBody, new(connstate.WholeChunks)); ok {
			t.Errorf("%.80q: taken for an incomplete response", in)
		}
	}
}

// A request must not be forwarded if the endpoint could see a different request ID or idempotency key than the instance.
func TestAmbiguousIDs(t *testing.T) {
	for head, want := range map[string]bool{"X-Request-ID: 1\r\nIdempotency-Key: 2\r\nConnection: close\r\n": false,
		"X-Request-ID: 1\r\nx-request-id: 2\r\n":               true,
		"Idempotency-Key: 1\r\nA: b\r\nIdempotency-Key: 1\r\n": true, "X-Request-ID: 1\r\nConnection: close, Idempotency-Key\r\n": true} {
		if got := hasAmbiguousID([]byte(head)); got != want {
			t.Errorf("%q: got %v, want %v", head, got, want)
		}
	}
	// Only digits with an optional decimal point are a timeout, although strconv.ParseFloat accepts more.
	for _, in := range []string{"", "1e3", "0x10", "inf", "nan", "+1", "-1", "1_0", "1.2.3", "."} {
		if _, ok := parseSeconds([]byte(in)); ok {
			t.Errorf("%q is accepted as a number of seconds", in)
		}
	}
}

func TestOnlyEndToEndHeadersAreForwarded(t *testing.T) {
	head := []byte("Host: a\r\nconnection: keep-alive, X-Mine\r\nX-Mine: 1\r\nX-Request-ID: 7\r\nIdempotency-Key: k\r\n" +
		"X-Timeout: 9\r\nContent-Length: 3\r\nTE: x\r\nExpect: 100-continue\r\nX-Attrs: a=1,b=2\r\n")
	want := "POST /s?q=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: 7\r\nIdempotency-Key: k\r\nX-Attrs: a=1,b=2\r\n" +
		"X-Timeout: 0.2500\r\nContent-Length: 3\r\n\r\n"
	got := appendRequestHead(nil, []byte("POST"), []byte("/s?q=1"), head, 3, policy.Second/4)
	if string(got) != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		original := bytes.Clone(in)
		request, status := parseRequest(in, maxBody, new(connstate.WholeChunks))
		if request.length > len(in) || request.length > 0 && status != 0 || len(request.body) > maxBody {
			t.Fatalf("parsed %d of %d bytes, with status %d and a body of %d bytes", request.length, len(in), status, len(request.body))
		}
		if request.length == 0 {
			return
		}
		// The endpoint must parse the forwarded bytes as one request with the same body.
		size := len(request.body)
		out := appendRequestHead(nil, request.method, request.target, request.headers, size, policy.Second)
		out = append(out, request.body...)
		again, status := parseRequest(append(out, original[request.length:]...), maxBody, new(connstate.WholeChunks))
		if status != 0 || (again.length != len(out) || !bytes.Equal(again.body, request.body) ||
			!bytes.Equal(again.target, request.target)) {
			t.Fatalf("%q was forwarded as %q", original, out)
		}
	})
}

func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, in []byte, ended bool) {
		response, ok := parseResponse(in, ended, false, maxBody, new(connstate.WholeChunks))
		if response.length > len(in) || response.length > 0 && !ok ||
			response.status == 200 && len(response.body) > maxBody {
			t.Fatalf("parsed %d of %d bytes, with ok %v and a body of %d bytes", response.length, len(in), ok, len(response.body))
		}
	})
}
