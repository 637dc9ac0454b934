// Package relay holds the types and decisions for forwarding calls of callers that run their
// own programs. An HTTP call arrives, is matched to a route of the operator's document, and is
// forwarded to a registered upstream of one of the route's services.
//
// The package uses no goroutine, socket or clock. The package internal/gateway is the server
// that uses it, and the package platform translates the protocol into its types.
package relay
