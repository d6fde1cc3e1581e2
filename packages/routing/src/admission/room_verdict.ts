/**
 * Reasons for which there is no room for a request, now or in time.
 */

/** Why there is no room for a request. */
export type RoomRefusal =
  /** No place is free before it would be too late. */
  | "no_place_in_time"
  /** A more urgent request took its place in the line. */
  | "displaced"
  /** Its tenant already has its part of a line that others need. */
  | "tenant_share"
  /** The line has reached its bound. */
  | "line_full";
