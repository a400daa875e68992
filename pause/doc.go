// Package pause implements exponential backoff for the system's own calls, such
// as those to the metadata store, which are retried until one succeeds. Each
// wait has a random part, so that daemons that failed at the same time do not
// retry at the same time.
package pause
