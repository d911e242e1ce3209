// Package platform is a stand-in for the platform's object store. It serves the
// platform's published HTTP protocol: versioned objects by kind and name, with
// conditional updates and watches. Faults can be injected, and requests are counted.
//
// One goroutine owns the objects; the HTTP handlers communicate with it by messages.
package platform
