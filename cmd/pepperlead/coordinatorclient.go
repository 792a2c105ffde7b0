package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"pepperlead/internal/coordinator"
)

const (
	// leaderTimeout is how long the coordinators may take to elect a leader.
	leaderTimeout       = 5 * time.Second
	leaderRetryInterval = 200 * time.Millisecond
	coordinatorTimeout  = 15 * time.Second // for one request and its response
)

// coordinatorClient sends requests to the leader of the coordinators. It sends each first to the coordinator at
// address, which responds with the leader's address if another one is the leader.
type coordinatorClient struct{ address string }

// coordinatorResponse is a coordinator's response.
type coordinatorResponse struct {
	status int
	leader string // address of the leader, if that is another coordinator
	text   string
}

// do sends a request to the leader and returns the text of its response.
func (c coordinatorClient) do(method, path string, body []byte) (string, error) {
	client := &http.Client{Timeout: coordinatorTimeout}
	address := c.address
	deadline := time.Now().Add(leaderTimeout)
	for time.Now().Before(deadline) {
		response, err := send(client, method, "http://"+address+path, body)
		if isDialError(err) && address != c.address {
			// The leader has failed, and the other coordinators have not noticed yet. The leader has not received
			// the request.
			address = c.address
			time.Sleep(leaderRetryInterval)
			continue
		}
		if err != nil {
			return "", err
		}
		electing := response.status == http.StatusServiceUnavailable
		switch {
		case response.status == http.StatusOK:
			return response.text, nil
		case response.status == http.StatusMisdirectedRequest && response.leader != "":
			address = response.leader
		case electing && time.Now().Add(leaderRetryInterval).Before(deadline):
			time.Sleep(leaderRetryInterval)
		default:
			return "", errors.New(strings.TrimSpace(response.text))
		}
	}
	return "", fmt.Errorf("%s: found no leader within %v: try again", address, leaderTimeout)
}

func send(client *http.Client, method, url string, body []byte) (coordinatorResponse, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return coordinatorResponse{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return coordinatorResponse{}, err
	}
	defer func() {
		_ = response.Body.Close() // the response was only read
	}()
	text, err := io.ReadAll(response.Body)
	return coordinatorResponse{
		status: response.StatusCode,
		leader: response.Header.Get(coordinator.LeaderHeader),
		text:   string(text),
	}, err
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// revisions has the numbers of a cluster's revisions.
type revisions struct {
	inForce uint64
	coming  uint64 // the revision that is coming into force; 0: none
	last    uint64
}

// revisions requests the numbers of the cluster's revisions.
func (c coordinatorClient) revisions() (revisions, error) {
	text, err := c.do(http.MethodGet, "/_versions", nil)
	if err != nil {
		return revisions{}, err
	}
	var r revisions
	_, err = fmt.Sscanf(text, "in force %d, coming %d, last %d,", &r.inForce, &r.coming, &r.last)
	return r, err
}
