/**
 * Addresses of listeners and endpoints: an IP address and a port.
 */

import { isIP } from "node:net";

/** IP address and port, formatted as `127.0.0.1:8080` or `[::1]:8080`. */
export type Address = string;

/** Parts of an address; `host` is an IP address. */
export interface AddressParts {
  readonly host: string;
  readonly port: number;
}

/** Parses an address; undefined unless it is an IP address with a port. */
export function parseAddress(text: string): AddressParts | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const host = match[1] ?? match[2] ?? "";
  const port = Number(match[3]);
  return isIP(host) === 0 || port > 65_535 ? undefined : { host, port };
}

/** Parses an address that is known to be one; throws if it is not. */
export function requireAddress(text: string): AddressParts {
  const parts = parseAddress(text);
  if (parts !== undefined) return parts;
  throw new Error(
    `address "${text}" is not an IP address with a port; write it like 127.0.0.1:8080`,
  );
}

/** Formats an address; an IPv6 address is put in brackets. */
export function formatAddress(host: string, port: number): Address {
  return isIP(host) === 6 ? `[${host}]:${port}` : `${host}:${port}`;
}
