package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// claimTimeout bounds the two calls of the table that claim a trial, at a table that is ten times
// slower than usual.
const claimTimeout = 500 * time.Millisecond

// errTrialClaimed is returned when another entry has claimed the trial.
var errTrialClaimed = errors.New("another entry has claimed the trial")

// claimTrial claims the next trial of the call's content in the table, so that no other entry sends
// it. It reports whether this call is the trial.
func (s *quarantineStore) claimTrial(ctx context.Context, j *job) bool {
	number, err := s.claim(ctx, j.fingerprint)
	now := time.Now()
	if err != nil {
		s.g.mu.Lock()
		s.g.crashes.DropClaim(now, j.fingerprint)
		s.g.mu.Unlock()
		s.g.logTrialState(s.g.env.Requests.Warn("trial_not_claimed").Str("request", j.call.ID), j.fingerprint).Err(err).End()
		return false
	}
	s.g.logTrialState(s.g.env.Requests.Warn("content_tried").Str("request", j.call.ID).Int("trial", int64(number)), j.fingerprint).End()
	s.g.mu.Lock()
	report := s.g.crashes.BeginTrial(now, j.fingerprint, number)
	s.g.mu.Unlock()
	s.g.updateQuarantineDigest()
	s.g.reports.queue(report)
	s.g.mesh.SendDigestNow()
	return true
}

// claim stores that the next trial of the request has been claimed, and returns its number. An error
// means that this entry must not send the trial; the claim may have been stored nevertheless.
func (s *quarantineStore) claim(ctx context.Context, request uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	s.g.mu.Lock()
	due := s.g.crashes.TrialState(time.Now(), request).Trials + 1
	s.g.mu.Unlock()
	_, version, err := s.readRow(ctx, request)
	if err != nil {
		return 0, err
	}
	s.g.mu.Lock()
	record, known := s.g.crashes.TrialClaim(time.Now(), request)
	s.g.mu.Unlock()
	if !known || record.Trials != due { // the row holds a trial that this entry had not heard of
		return 0, errTrialClaimed
	}
	return due, s.putRow(ctx, record, version)
}
