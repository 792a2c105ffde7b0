package soak

import (
	"net/url"
	"strconv"
	"time"
)

// framing is how a server delimits the body of its response.
type framing string

const (
	sizedFraming   framing = "sized"   // Content-Length
	chunkedFraming framing = "chunked" // Transfer-Encoding: chunked
	closeFraming   framing = "close"   // the connection ends with the body
)

// maxCopyDelay is how long after a response a server may begin to write it once more. A response doesn't identify its
// request, so a copy on a connection that carries the next request already cannot be recognized.
const maxCopyDelay = 15 * time.Millisecond

// ending is how an exchange ends at the server.
type ending string

const (
	completeEnding   ending = "complete"    // a complete response
	hangEnding       ending = "hang"        // no response, and the connection stays open
	hangMidEnding    ending = "hang-mid"    // a part of the response, and the connection stays open
	resetEnding      ending = "reset"       // a reset once the request has run
	resetMidEnding   ending = "reset-mid"   // a reset in the middle of the response
	errorEnding      ending = "error"       // status 500
	overloadedEnding ending = "overloaded"  // status 503 that says that the request was not processed
	surplusEnding    ending = "surplus"     // a complete response and noise behind it
	copyEnding       ending = "second-copy" // a complete response, and the same once more
)

// behaviour is what a request asks the server to do. The zero value, apart from Ending and Framing, is a short response
// at once.
type behaviour struct {
	Work      time.Duration // time between the last byte of the request and the response
	ReadRate  int           // bytes per second at which the body is read; 0: as fast as it comes
	Size      int           // size of the response body in bytes
	Framing   framing
	Pieces    int           // number of parts in which the body is written; 0: one
	Gap       time.Duration // time between two parts
	Ending    ending
	FirstOnly bool          // only the first attempt ends like that; later ones are complete
	CopyAfter time.Duration // time between the response and its second copy
}

// query encodes the behaviour for the query of a request.
func (b behaviour) query() string {
	v := url.Values{}
	v.Set("work", b.Work.String())
	v.Set("read", strconv.Itoa(b.ReadRate))
	v.Set("size", strconv.Itoa(b.Size))
	v.Set("framing", string(b.Framing))
	v.Set("pieces", strconv.Itoa(b.Pieces))
	v.Set("gap", b.Gap.String())
	v.Set("ending", string(b.Ending))
	v.Set("first", strconv.FormatBool(b.FirstOnly))
	v.Set("copy", b.CopyAfter.String())
	return v.Encode()
}

// parseBehaviour decodes a query. A malformed value counts as zero: only clients of this package send queries.
func parseBehaviour(v url.Values) behaviour {
	number := func(name string) int {
		n, _ := strconv.Atoi(v.Get(name))
		return n
	}
	duration := func(name string) time.Duration {
		d, _ := time.ParseDuration(v.Get(name))
		return d
	}
	return behaviour{
		Work:      duration("work"),
		ReadRate:  number("read"),
		Size:      number("size"),
		Framing:   framing(v.Get("framing")),
		Pieces:    number("pieces"),
		Gap:       duration("gap"),
		Ending:    ending(v.Get("ending")),
		FirstOnly: v.Get("first") == "true",
		CopyAfter: duration("copy"),
	}
}

// responseBody returns the body of the response to a request: its id, and bytes that follow from the id.
func responseBody(id string, size int) []byte {
	body := append(make([]byte, 0, size+len(id)+1), id...)
	body = append(body, '\n')
	state := uint32(len(id))
	for _, c := range []byte(id) {
		state = state*31 + uint32(c)
	}
	for len(body) < size {
		state = state*1664525 + 1013904223
		body = append(body, 'a'+byte(state>>24)%26)
	}
	return body
}
