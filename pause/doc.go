// Package pause implements exponential backoff. It is meant for calls that the
// system makes for its own purposes and retries until one succeeds, such as calls
// to the metadata store. Each wait has a random part, so that daemons whose calls
// failed at the same time do not retry at the same time.
package pause
