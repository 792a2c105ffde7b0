// Package simprotocol connects instances of the decision module to the simulator. It decodes the lines of a batch into
// calls of the module, and writes what the module asks for as the lines of the reply.
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
	readBufferSize = 64 << 10
	maxLists       = 16
	maxListEntries = 1 << 20
)

// Keywords of the lines that are not about one instance.
const (
	keywordBeginBatch  = "round"
	keywordEndBatch    = "go"
	keywordList        = "roster"
	keywordEndpoint    = "endpoint"
	keywordNewInstance = "new_instance"
)

// adapter hosts the instances of one process.
type adapter struct {
	in        *bufio.Reader
	to        io.Writer
	reply     bytes.Buffer // to the current batch
	inBatch   bool
	now       policy.Time
	instances map[string]*instance
	lists     [maxLists][]policy.Member
	filling   int // number of the list whose entries follow
	missing   int // entries of that list still to come
	line      []byte
	fields    []field
}

// Run serves batches until the input ends. An error says which line could not be served and why.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{in: bufio.NewReaderSize(in, readBufferSize), to: out, instances: map[string]*instance{}}
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

// readLine returns the next line without its end. It is valid until the next call.
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

// handleLine serves one line. Lines with unknown keywords are ignored.
func (a *adapter) handleLine(line []byte) error {
	keyword, rest, _ := bytes.Cut(line, []byte{' '})
	a.splitFields(rest)
	if a.missing > 0 && string(keyword) != keywordEndpoint {
		return fmt.Errorf("%d endpoint lines of the roster are missing", a.missing)
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
		return a.newInstance(rest)
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

// endBatch sends the reply to the batch.
func (a *adapter) endBatch() error {
	a.inBatch = false
	a.reply.WriteString("ack\n")
	_, err := a.to.Write(a.reply.Bytes())
	a.reply.Reset()
	return err
}
