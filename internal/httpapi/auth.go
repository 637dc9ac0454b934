package httpapi

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Tokens maps bearer tokens to callers' organisations and to operators. The two sets
// are separate: a caller's token gives no access to the operators' routes, nor the reverse.
type Tokens struct {
	// callers and operators are keyed by the SHA-256 hash of the token.
	callers   map[[sha256.Size]byte]structs.OrganisationID
	operators map[[sha256.Size]byte]string
}

// NewTokens returns Tokens that accept the bearer tokens that are the keys of the maps.
// The tokens are stored as SHA-256 hashes, so that the time of a lookup does not depend
// on which byte of a token differs.
func NewTokens(callers map[string]structs.OrganisationID, operators map[string]string) *Tokens {
	t := &Tokens{
		callers:   map[[sha256.Size]byte]structs.OrganisationID{},
		operators: map[[sha256.Size]byte]string{},
	}
	for token, organisation := range callers {
		t.callers[sha256.Sum256([]byte(token))] = organisation
	}
	for token, operator := range operators {
		t.operators[sha256.Sum256([]byte(token))] = operator
	}
	return t
}

// contextKey is the type of the keys under which requireCaller and requireOperator store who
// sent the request.
type contextKey int

const (
	organisationKey contextKey = iota
	operatorKey
)

// organisationOf returns the caller's organisation; empty for an operator, who may read
// the programs of every organisation.
func organisationOf(ctx context.Context) structs.OrganisationID {
	organisation, _ := ctx.Value(organisationKey).(structs.OrganisationID)
	return organisation
}

// operatorOf returns the operator's name; empty for a caller.
func operatorOf(ctx context.Context) string {
	operator, _ := ctx.Value(operatorKey).(string)
	return operator
}

// bearerHash returns the hash of the request's bearer token.
func bearerHash(r *http.Request) ([sha256.Size]byte, error) {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return [sha256.Size]byte{}, structs.Refusalf(structs.CodeUnauthorized, structs.OutcomeNotRun, "authenticate",
			"the Authorization header shows no bearer token")
	}
	return sha256.Sum256([]byte(strings.TrimSpace(token))), nil
}

// errUnknownToken returns the refusal of a token that does not belong to the kind of holder that
// the route requires: "a caller" or "an operator".
func errUnknownToken(holder string) error {
	return structs.Refusalf(structs.CodeUnauthorized, structs.OutcomeNotRun, "authenticate", "the token is not that of %s", holder)
}

// requireCaller refuses requests without a caller's token and stores the organisation in the context.
func (t *Tokens) requireCaller(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, err := bearerHash(r)
		if err != nil {
			writeProblem(w, err)
			return
		}
		organisation, known := t.callers[token]
		if !known {
			writeProblem(w, errUnknownToken("a caller"))
			return
		}
		ctx := context.WithValue(r.Context(), organisationKey, organisation)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// requireOperator refuses requests without an operator's token and stores the operator in the context.
func (t *Tokens) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, err := bearerHash(r)
		if err != nil {
			writeProblem(w, err)
			return
		}
		operator, known := t.operators[token]
		if !known {
			writeProblem(w, errUnknownToken("an operator"))
			return
		}
		ctx := context.WithValue(r.Context(), operatorKey, operator)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
