package types

// Host identifies one baobabfield process on an entry host.
type Host string

// DataCentre names a data centre.
type DataCentre string

// Service names an operator's service, for instance "ramp-logs".
type Service string

// Database identifies one replicated database of a service.
type Database string

// Endpoint identifies one database instance that serves a Database.
type Endpoint string

// Rank names an operator's class of work, for instance "urgent".
type Rank string

// Feature names the part of an application that sends a request.
type Feature string

// Job names the scheduled work that sends a request; empty for none.
type Job string

// RequestID matches an answer to its request within one host.
type RequestID uint64
