// Package kvcache models the prefix (KV) caches of model engines. Chain divides a
// conversation into blocks and hashes them. Tracker is the cache of one engine, with least
// recently used eviction and holds. View is an entry's estimate of the blocks that one engine
// caches, from the engine's cache events and from the entry's own calls. RetentionPolicy
// decides whether the cache of a conversation is held over a tool pause, exported to another
// engine, or left to eviction.
//
// An entry is the process that runs programs and routes their calls to engines. A block
// covers BlockTokens tokens of a conversation; its parent is the block before it. A hold
// protects the cached blocks of one program from eviction while a tool runs.
//
// The package does no I/O, starts no goroutine and reads no clock: the caller passes the time.
// Cache sizes are in blocks of BlockTokens tokens. A token is estimated as
// structs.BytesPerToken bytes of rendered text. Rates are in tokens per second.
package kvcache
