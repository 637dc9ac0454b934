// Package resume remembers at which version of an upstream's software each stream began. What two
// versions generate does not fit together, so a stream may go on only at the version that began it.
//
// Origins holds the streams that an entry knows of. Rows decides, for each service, at which versions
// streams may begin, and what its row in the table states about them for the time when no entry is left
// that knows a stream. Both are pure: they use no goroutine, socket or clock.
package resume
