package orgquota

import (
	"encoding/binary"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/quota"
)

// questionTokens is the kind of the question for tokens. The value is part of the wire format.
const questionTokens = 'a'

// Flags of an encoded question.
const (
	flagNewProgram = 1 << iota
	flagAhead
)

// Units of encoded numbers.
const (
	// hundredth is the unit of rates and of requests per program.
	hundredth = 100
	// askProgramsBit is set in an encoded outcome beside the outcome itself.
	askProgramsBit = 1 << 4
	// maxTokens bounds what an answer may grant: more than any organisation uses within a lease.
	maxTokens = 1 << 20
)

// encodeQuestion returns the fields of a question. The sender is that of the mesh's question.
func encodeQuestion(q quota.Question) []byte {
	flags := uint64(0)
	if q.NewProgram {
		flags |= flagNewProgram
	}
	if q.Ahead {
		flags |= flagAhead
	}
	b := mesh.AppendText(make([]byte, 0, 64), q.Organisation)
	for _, v := range []uint64{
		q.Seq, q.Epoch, q.Used, q.Held, q.Returned, q.Requests, q.Programs, q.Want, flags, uint64(hundredth * max(0, q.PerProgram)),
	} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

// decodeQuestion reads a question. It is malformed if the reader is afterwards.
func decodeQuestion(r *mesh.Reader, from string) quota.Question {
	q := quota.Question{
		Organisation: r.Text(), From: from, Seq: r.Uvarint(), Epoch: r.Uvarint(), Used: r.Uvarint(), Held: r.Uvarint(),
		Returned: r.Uvarint(), Requests: r.Uvarint(), Programs: r.Uvarint(), Want: r.Uvarint(),
	}
	flags := r.Uvarint()
	q.NewProgram, q.Ahead = flags&flagNewProgram != 0, flags&flagAhead != 0
	q.PerProgram = float64(r.Uvarint()) / hundredth
	if q.Organisation == "" || q.Want > maxTokens {
		r.Fail()
	}
	return q
}

// encodeAnswer returns the answer to a question as the mesh carries it.
func encodeAnswer(a quota.Answer) mesh.Answer {
	value := uint64(a.Outcome)
	if a.AskPrograms {
		value |= askProgramsBit
	}
	b := make([]byte, 0, 48)
	for _, v := range []uint64{
		a.Seq, a.Epoch, a.Count, uint64(max(0, a.Retry.Milliseconds())), uint64(max(0, a.Closed.Microseconds())),
		uint64(hundredth * max(0, a.PerProgram)), uint64(hundredth * max(0, a.UsedPerSecond)),
	} {
		b = binary.AppendUvarint(b, v)
	}
	return mesh.Answer{Value: value, Text: string(b)}
}

// maxDelay bounds the times in an answer.
const maxDelay = time.Minute

// decodeAnswer reads an answer. ok is false if it is malformed.
func decodeAnswer(v mesh.Answer) (a quota.Answer, ok bool) {
	b := []byte(v.Text)
	var fields [7]uint64
	for i := range fields {
		n := 0
		if fields[i], n = binary.Uvarint(b); n <= 0 {
			return quota.Answer{}, false
		}
		b = b[n:]
	}
	a = quota.Answer{
		Outcome: quota.Outcome(v.Value & (askProgramsBit - 1)), AskPrograms: v.Value&askProgramsBit != 0,
		Seq: fields[0], Epoch: fields[1], Count: fields[2],
		Retry:      time.Duration(min(fields[3], uint64(maxDelay.Milliseconds()))) * time.Millisecond,
		Closed:     time.Duration(min(fields[4], uint64(maxDelay.Microseconds()))) * time.Microsecond,
		PerProgram: float64(fields[5]) / hundredth, UsedPerSecond: float64(fields[6]) / hundredth,
	}
	return a, a.Outcome < quota.Ask && a.Count <= maxTokens
}
