package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// platformTimeout bounds one request to the platform, and one hold renewal or automatic
// gate order to the sides.
const platformTimeout = 2 * time.Second

// platformRetry is the retry delay after a failed request to the platform.
const platformRetry = 2 * time.Second

// platformRefusal converts an error of the platform to a refusal. It returns nil for nil.
func platformRefusal(err error, step string) error {
	if err == nil {
		return nil
	}
	r := structs.Refusalf(structs.CodePlatformOutage, structs.OutcomeUnknown, step, "%s", err)
	r.Peer = "platform"
	r.RetryAfter = platformRetry
	if errors.Is(err, platform.ErrNotApplied) {
		r.Outcome = structs.OutcomeNotRun
	}
	return r
}
