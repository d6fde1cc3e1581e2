/**
 * Reads fields of decoded JSON without trusting their types.
 *
 * Entries may come from other writers, so a field that is missing or of another
 * type is `undefined`, never an exception.
 */

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

/** A value's fields, or `undefined` when it is not an object. */
export function readFields(value: unknown): Fields | undefined {
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isObject ? value as Fields : undefined;
}

/** A list, empty when the value is not one. */
export function readList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** A non-empty string. */
export function readString(value: unknown): string | undefined {
  return typeof value === "string" && value !== "" ? value : undefined;
}

/** A finite number. */
export function readNumber(value: unknown): number | undefined {
  return typeof value === "number" && Number.isFinite(value)
    ? value
    : undefined;
}

/** Strings of a list; others are left out. */
export function readStrings(value: unknown): readonly string[] {
  return readList(value).flatMap((item) => readString(item) ?? []);
}
