package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// ToStatus returns err as a gRPC status error with the refusal in its details.
func ToStatus(err error) error {
	if err == nil {
		return nil
	}
	r := structs.AsRefusal(err)
	st := status.New(grpcCode(r), r.Detail)
	detailed, detailErr := st.WithDetails(&peerpb.Refusal{
		Code:       string(r.Code),
		Outcome:    string(r.Outcome),
		Step:       r.Step,
		Peer:       r.Peer,
		RetryAfter: durationpb.New(r.RetryAfter),
		Detail:     r.Detail,
	})
	if detailErr != nil {
		return st.Err()
	}
	return detailed.Err()
}

// grpcCode returns the gRPC code of a refusal. It is coarse, because receivers read the
// refusal in the details instead.
func grpcCode(r *structs.Refusal) codes.Code {
	if r.Outcome == structs.OutcomeUnknown {
		return codes.Unknown
	}
	return codes.FailedPrecondition
}

// FromStatus converts the error of a gRPC call. A call that was never sent becomes a
// refusal with outcome not run, and a status with a refusal in its details becomes that
// refusal. A cancelled context or a passed deadline becomes the error of the context.
// Any other status becomes a refusal with the given step and peer and outcome unknown,
// since the peer may have run the call. An error that is not a status is returned as it
// is.
func FromStatus(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	var unsent *notSentError
	if errors.As(err, &unsent) {
		r := unsent.refusal
		r.Peer = peer
		return &r
	}
	st, ok := status.FromError(err)
	if !ok {
		return err
	}
	for _, detail := range st.Details() {
		if r, ok := detail.(*peerpb.Refusal); ok {
			return refusalFromPB(r, peer)
		}
	}
	switch st.Code() {
	case codes.Canceled:
		return errors.Wrapf(context.Canceled, "%s at %s", step, peer)
	case codes.DeadlineExceeded:
		return errors.Wrapf(context.DeadlineExceeded, "%s at %s", step, peer)
	}
	return &structs.Refusal{
		Code:    structs.CodeUpstreamFailed,
		Outcome: structs.OutcomeUnknown,
		Step:    step,
		Peer:    peer,
		Detail:  st.Message(),
	}
}

// refusalFromPB converts a refusal from its wire form. One without a peer gets the
// given peer.
func refusalFromPB(r *peerpb.Refusal, peer string) *structs.Refusal {
	out := &structs.Refusal{
		Code:       structs.Code(r.GetCode()),
		Outcome:    structs.Outcome(r.GetOutcome()),
		Step:       r.GetStep(),
		Peer:       r.GetPeer(),
		RetryAfter: r.GetRetryAfter().AsDuration(),
		Detail:     r.GetDetail(),
	}
	if out.Peer == "" {
		out.Peer = peer
	}
	return out
}
