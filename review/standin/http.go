package main

import (
	"io"
	"net/http"
	"strings"
)

func newBody(body string) io.Reader {
	if body == "" {
		return nil
	}
	return strings.NewReader(body)
}

// readAnswer reads an answer to its end; the status is 0 if it is not whole.
func readAnswer(response *http.Response, err error) (status int, answer string) {
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}
