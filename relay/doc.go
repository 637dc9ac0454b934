// Package relay holds the types and pure decisions of the path on which callers
// drive their own programs: one HTTP call comes in, is matched to a route, and is
// sent to an upstream of the route's service.
//
// It has no goroutine, socket or clock; internal/gateway is the shell around it and
// the package platform translates the users' wire into its types.
package relay
