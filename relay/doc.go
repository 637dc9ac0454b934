// Package relay defines the calls, routes and upstreams of an entry that forwards HTTP calls. A
// call is matched to a route of the operator's document and forwarded to a registered upstream of
// one of the route's services.
//
// The package matches routes and decides which of two registrations of an upstream replaces
// the other. It uses no goroutine, socket or clock. The package internal/gateway forwards the
// calls, and the package platform translates the protocol into the types of this package.
package relay
