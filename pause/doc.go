// Package pause implements exponential backoff. It serves calls of the system
// itself that are retried until one succeeds, such as calls to the metadata
// store. Each wait has a random part, so that daemons whose calls failed at the
// same time do not retry at the same time.
package pause
