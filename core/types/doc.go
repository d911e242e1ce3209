// Package types defines the types that all packages of baobabfield share:
// identifiers, time, terms and log positions, object specifications and the
// outcomes of requests.
//
// Like all of core, the package performs no input or output: it does not
// read clocks, start goroutines or use channels.
//
// The packages of core use these terms. The frontend of a request is the host that
// its caller is connected to. The owner of an endpoint is the host that connects to
// the endpoint and runs statements there, and the standby is the host that owns it
// next if the owner fails. The primary of a database or service is the endpoint that
// accepts writes; the others are replicas. Authority is the lease under which the
// owner of the primary uses it. A campaign replaces the primary in a new term, and
// fences the old one so that it can no longer acknowledge writes.
//
// The two commands of baobabd use different packages of core. Their callers, endpoints
// and stores differ, so that some decisions are made in one package for each:
//
//   - "baobabd serve" serves PostgreSQL callers. It uses attributes, session, routing,
//     admission (the queue of an endpoint), failover (the primary and its authority),
//     membership (the live hosts), config (the configuration) and timeline.
//   - "baobabd platform" serves the platform's line protocol. Package proxy makes all
//     decisions there. It uses statement, pool (the queue of an endpoint), lead (the
//     primary and its authority), catalog and feed (the configuration, the endpoints
//     and the hosts, as in the platform's store), freshness and routing.
package types
