// Package architecture checks the imports between packages, the use of platform names and
// the length of files. It consists of tests only.
package architecture
