/**
 * Settings of one gateway process, whatever file they came from.
 */

/** Bounds that the deployment's contracts state. */
export interface Bounds {
  /** Time within which an accepted configuration must be in force. */
  readonly configurationMs: number;
  /** Time after which a withdrawn key must not work on any node. */
  readonly revocationMs: number;
  /** Whether a node without news must refuse keys after `revocationMs`. */
  readonly failsClosed: boolean;
  /** Time that a leaving replica goes on serving. */
  readonly drainMs: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Repeats a service may get, as a share of its requests. */
  readonly retryRatio: number;
  /** Repeats a service may get beside that share in one window. */
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  readonly quotaWindowMs: number;
  /** Cost that a tenant may exceed its allowance by in one window. */
  readonly quotaTolerance: number;
  readonly leaseMs: number;
  readonly usageWindowMs: number;
  /** Time after a usage window's end at which its report is due. */
  readonly usageDueMs: number;
}

/** Duties that the platform asks of one node at a time. */
export type DutyName = "usage" | "scaling";

/** Settings of one node. */
export interface GatewaySettings {
  readonly nodeName: string;
  readonly ip: string;
  readonly zone: string;
  readonly zones: readonly string[];
  /** Addresses to listen on; undefined where the role does not serve them. */
  readonly callers: string | undefined;
  readonly readiness: string | undefined;
  readonly control: string | undefined;
  /** UDP port of the peers' datagrams, the same on all nodes. */
  readonly peerPort: number;
  /** IP addresses of some nodes; may be out of date. */
  readonly seedIps: readonly string[];
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly memoryMb: number;
  readonly maxDescriptors: number;
  readonly storeAddress: string;
  readonly cloudAddress: string | undefined;
  readonly duties: readonly DutyName[];
  readonly bounds: Bounds;
}
