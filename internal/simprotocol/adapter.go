// Package simprotocol connects instances of the decision module to the simulator by a line protocol. The simulator
// sends batches of lines, each from a "round" line, which gives the time, to a "go" line. An event in a batch becomes a
// call to an instance. The reply to the batch has a line for each action of the instances, and ends with "ack".
package simprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"pepperlead/policy"
)

// Limits of the input.
const (
	readBufferSize = 64 << 10 // bytes; a longer line is read in parts
	maxLists       = 16       // lists are numbered from 0
	maxListEntries = 1 << 20
)

// Keywords of lines other than the events of an instance.
const (
	keywordBeginBatch  = "round"
	keywordEndBatch    = "go"
	keywordList        = "roster"
	keywordEndpoint    = "endpoint"
	keywordNewInstance = "new_instance"
)

// adapter decodes the simulator's lines, and holds the instances and endpoint lists that they refer to.
type adapter struct {
	in        *bufio.Reader
	out       io.Writer
	reply     bytes.Buffer // reply to the current batch
	inBatch   bool
	now       policy.Time
	instances map[string]*instance
	lists     [maxLists][]policy.Member
	listNo    int     // number of the list that was begun last
	remaining int     // entries of that list that are still to be read
	line      []byte  // buffer of readLine
	fields    []field // fields of the current line
}

// Run serves batches until the input ends. It stops at a line that it cannot handle, with an error that quotes the line
// and gives the reason.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{in: bufio.NewReaderSize(in, readBufferSize), out: out, instances: map[string]*instance{}}
	for {
		line, err := a.readLine()
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if a.inBatch {
				return errors.New("input ended within a batch")
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(line) == 0 {
			continue
		}
		if err := a.handleLine(line); err != nil {
			return fmt.Errorf("line %.200q: %w", line, err)
		}
	}
}

// readLine returns the next line without its line ending. The slice is valid until the next call.
func (a *adapter) readLine() ([]byte, error) {
	a.line = a.line[:0]
	for {
		part, err := a.in.ReadSlice('\n')
		a.line = append(a.line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return bytes.TrimRight(a.line, "\r\n"), err
		}
	}
}

// handleLine handles one line. Lines with unknown keywords are ignored.
func (a *adapter) handleLine(line []byte) error {
	keyword, text, _ := bytes.Cut(line, []byte{' '})
	a.splitFields(text)
	if a.remaining > 0 && string(keyword) != keywordEndpoint {
		return fmt.Errorf("%d endpoint lines of the roster are missing", a.remaining)
	}
	if string(keyword) == keywordBeginBatch {
		return a.beginBatch()
	}
	if !a.inBatch {
		return errors.New("outside a batch")
	}
	switch string(keyword) {
	case keywordEndBatch:
		return a.endBatch()
	case keywordList:
		return a.beginList()
	case keywordEndpoint:
		return a.addEndpoint()
	case keywordNewInstance:
		return a.newInstance(text)
	}
	handle, known := events[string(keyword)]
	if !known {
		return nil
	}
	name, err := a.text("sidecar_id")
	if err != nil {
		return err
	}
	return handle(a, a.instances[string(name)])
}

func (a *adapter) beginBatch() error {
	now, err := a.duration("wall_s")
	if err != nil {
		return err
	}
	a.now = now
	a.inBatch = true
	return nil
}

// endBatch completes the reply to the batch and writes it.
func (a *adapter) endBatch() error {
	a.inBatch = false
	a.reply.WriteString("ack\n")
	_, err := a.out.Write(a.reply.Bytes())
	a.reply.Reset()
	return err
}
