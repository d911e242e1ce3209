package types

// Host identifies one baobabfield process.
type Host string

// DataCentre names a data centre.
type DataCentre string

// Service names a service that an operator defined, for instance "ramp-logs".
type Service string

// Database identifies one replicated database of a service.
type Database string

// Endpoint identifies one database instance that holds a replica of a Database.
type Endpoint string

// Workspace names a customer organisation that shares databases with others. It is empty if the
// configuration has no workspaces, and for callers of public routes whose key is unknown.
type Workspace string

// Rank names a priority class that an operator defined, for instance "urgent".
type Rank string

// Feature names the part of an application that sends a request.
type Feature string

// Job names the scheduled job that sends a request. It is empty for requests
// that no job sends.
type Job string

// RequestID matches a response to its request. It is unique within the host that
// assigns it. Packages pool, proxy and failover have request IDs of their own, each
// with its own sequence.
type RequestID uint64
