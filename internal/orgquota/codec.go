package orgquota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/buckthornroute/buckthornroute/quota"
)

// Limits of what a message may contain.
const (
	maxName       = 512
	maxTokens     = 1 << 20
	maxPerProgram = 1 << 16
)

const (
	flagNewProgram = 1 << iota
	flagAhead
)

func appendQuestion(b []byte, q quota.Question) []byte {
	b = appendName(appendName(b, q.Organisation), q.From)
	flags := uint64(0)
	if q.NewProgram {
		flags |= flagNewProgram
	}
	if q.Ahead {
		flags |= flagAhead
	}
	for _, v := range []uint64{q.Seq, q.Epoch, q.Used, q.Held, q.Returned, q.Requests, q.Programs, q.Want, flags, tenths(q.PerProgram)} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func decodeQuestion(b []byte) (q quota.Question, ok bool) {
	r := reader{b: b}
	q.Organisation, q.From = r.name(), r.name()
	q.Seq, q.Epoch, q.Used = r.uvarint(), r.uvarint(), r.uvarint()
	q.Held, q.Returned, q.Requests, q.Programs, q.Want = r.tokens(), r.tokens(), r.tokens(), r.tokens(), r.tokens()
	flags := r.uvarint()
	q.NewProgram, q.Ahead = flags&flagNewProgram != 0, flags&flagAhead != 0
	q.PerProgram = float64(min(r.uvarint(), maxPerProgram)) / 10
	return q, !r.malformed
}

func appendAnswer(b []byte, a quota.Answer) []byte {
	ask := uint64(0)
	if a.AskPrograms {
		ask = 1
	}
	for _, v := range []uint64{
		a.Seq, uint64(a.Outcome), a.Epoch, a.Count, uint64(max(0, a.Retry.Microseconds())), uint64(max(0, a.Closed.Microseconds())), ask,
		tenths(a.PerProgram), tenths(a.UsedPerSecond),
	} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func decodeAnswer(b []byte) (a quota.Answer, ok bool) {
	r := reader{b: b}
	a.Seq = r.uvarint()
	outcome := r.uvarint()
	a.Epoch, a.Count = r.uvarint(), r.tokens()
	a.Retry, a.Closed = r.duration(), r.duration()
	a.AskPrograms = r.uvarint() == 1
	a.PerProgram, a.UsedPerSecond = float64(min(r.uvarint(), maxPerProgram))/10, float64(r.uvarint())/10
	if outcome >= uint64(quota.Ask) {
		r.malformed = true
	}
	a.Outcome = quota.Outcome(outcome)
	return a, !r.malformed
}

func tenths(v float64) uint64 { return uint64(math.Round(10 * min(max(0, v), 1e9))) }

func appendName(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

type reader struct {
	b         []byte
	malformed bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.malformed, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) tokens() uint64 {
	v := r.uvarint()
	if v > maxTokens {
		r.malformed = true
		return 0
	}
	return v
}

func (r *reader) duration() time.Duration {
	return time.Duration(min(r.uvarint(), uint64(time.Minute/time.Microsecond))) * time.Microsecond
}

func (r *reader) name() string {
	n := r.uvarint()
	if n > maxName || n > uint64(len(r.b)) {
		r.malformed, r.b = true, nil
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}
