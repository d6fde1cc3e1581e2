/**
 * Reads fields of parsed JSON of unknown shape.
 *
 * The data may come from other writers, so a field that is missing or of another
 * type is read as `undefined` and never throws.
 */

/** Levels of lists and objects within each other that a value may have. */
const maxDepth = 64;

/** Fields of a JSON object. */
export type Fields = Readonly<Record<string, unknown>>;

/** Parses JSON text; `undefined` when it is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Reads a value's fields; `undefined` when it is not an object. */
export function readFields(value: unknown): Fields | undefined {
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isObject ? value as Fields : undefined;
}

/** Reads a list; empty when the value is not one. */
export function readList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Reads a string; `undefined` when it is empty or not a string. */
export function readString(value: unknown): string | undefined {
  return typeof value === "string" && value !== "" ? value : undefined;
}

/** Reads a finite number; `undefined` when the value is not one. */
export function readNumber(value: unknown): number | undefined {
  return typeof value === "number" && Number.isFinite(value)
    ? value
    : undefined;
}

/** Reads the non-empty strings of a list; other items are left out. */
export function readStrings(value: unknown): readonly string[] {
  return readList(value).flatMap((item) => readString(item) ?? []);
}

/** Whether a value has more levels than any that is read has. */
export function isNestedTooDeeply(value: unknown, levels = maxDepth): boolean {
  if (typeof value !== "object" || value === null) return false;
  if (levels === 0) return true;
  return Object.values(value)
    .some((inner) => isNestedTooDeeply(inner, levels - 1));
}
