// Package kvcache models the prefix caches of model engines: how a conversation
// is cut into blocks, what an engine holds (Tracker), what an entry believes that
// an engine holds (View), and whether a conversation is worth holding over a tool
// pause (Keeper). It is pure: no goroutine, socket or clock.
//
// The sizes are in tokens of structs.BytesPerToken bytes of rendered text.
package kvcache
