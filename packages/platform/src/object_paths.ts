/**
 * Keys of objects as paths of the platform's store.
 */

/** Kind and name of an object, as on the wire. */
export interface ObjectReference {
  readonly kind: string;
  readonly name: string;
}

/** Parses a key, `KIND/NAME` or with more levels. */
export function parseKey(key: string): ObjectReference {
  const slash = key.lastIndexOf("/");
  return {
    kind: formatKind(key.slice(0, slash)),
    name: key.slice(slash + 1),
  };
}

/** Formats the kind of the objects below a prefix. */
export function formatKind(prefix: string): string {
  return prefix.replaceAll("/", "-");
}

/** Formats the path of an object. */
export function formatPath({ kind, name }: ObjectReference): string {
  return `/objects/${kind}/${encodeName(name)}`;
}

/**
 * Encodes a name for a path or query. Another writer's name may have a lone
 * surrogate, which has no encoding and goes as U+FFFD.
 */
export function encodeName(name: string): string {
  return encodeURIComponent(Buffer.from(name, "utf8").toString("utf8"));
}
