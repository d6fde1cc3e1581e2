/**
 * Settings of one gateway process, independent of the file format.
 */

/** Bounds from the deployment's contract. */
export interface Bounds {
  /** Time within which an accepted configuration must be in force. */
  readonly configurationMs: number;
  /** Time after which a withdrawn key must not work on any node. */
  readonly revocationMs: number;
  /** Whether a node refuses keys when its configuration may be older than that. */
  readonly failsClosed: boolean;
  /** Time that a leaving replica continues to serve. */
  readonly drainMs: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Retry budget of a service, as a share of its requests. */
  readonly retryRatio: number;
  /** Number of retries beyond that share in one window. */
  readonly retryExtra: number;
  /** Window of the retry budget. */
  readonly retryWindowMs: number;
  readonly quotaWindowMs: number;
  /** Cost by which a tenant may exceed its allowance in one window. */
  readonly quotaTolerance: number;
  /** Share of a window's allowance by which a tenant may exceed it besides. */
  readonly quotaOverage: number;
  /** Duration of the duty lease. */
  readonly leaseMs: number;
  readonly usageWindowMs: number;
  /** Time after the end of a usage window within which it must be reported. */
  readonly usageDueMs: number;
}

/** Bounds on the traffic of a software version that is not trusted yet. */
export interface ExposureBounds {
  /** Largest share of a service's requests that the version may get. */
  readonly share: number;
  /** Requests beyond that share. */
  readonly tolerance: number;
  /** Time after its 50th bad answer from which it may get no request. */
  readonly rollbackMs: number;
}

/** Duties for the platform that one node at a time performs. */
export type DutyName = "usage" | "scaling";

/** Limits of the connections of one node; by its memory where undefined. */
export interface ConnectionSettings {
  /** Connections of callers that may be open. */
  readonly max: number | undefined;
  /** Connections whose bytes may wait to be read. */
  readonly maxWaiting: number | undefined;
  /** Refused connections whose bytes may be dropped at once. */
  readonly maxEnding: number | undefined;
}

/** Settings of one node. */
export interface GatewaySettings {
  readonly nodeName: string;
  readonly ip: string;
  readonly zone: string;
  readonly zones: readonly string[];
  /** Addresses to listen on; undefined if this process does not serve them. */
  readonly callers: string | undefined;
  readonly readiness: string | undefined;
  readonly control: string | undefined;
  /** UDP port for datagrams between nodes, the same on all nodes. */
  readonly peerPort: number;
  /** IP addresses of some nodes; may be out of date. */
  readonly seedIps: readonly string[];
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly memoryMb: number;
  /** Limit on open file descriptors. */
  readonly maxDescriptors: number;
  /** Limits of what callers' connections take; the node's own where undefined. */
  readonly connections: ConnectionSettings;
  /** Speed of the host's link; undefined if it is not known. */
  readonly linkBytesPerMs: number | undefined;
  readonly storeAddress: string;
  readonly cloudAddress: string | undefined;
  readonly duties: readonly DutyName[];
  readonly bounds: Bounds;
  /** Undefined where operators order no rollouts. */
  readonly exposure: ExposureBounds | undefined;
}
