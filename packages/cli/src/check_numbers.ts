/**
 * Checks of options that are numbers.
 */

/** Options by name, each as its text on the command line. */
export type NumberOptions = Readonly<Record<string, string>>;

/**
 * Finds an option that is not a whole number of 0 or more; returns the message
 * that says so, or undefined.
 */
export function findInvalidInteger(options: NumberOptions): string | undefined {
  for (const [name, text] of Object.entries(options)) {
    if (/^\d{1,15}$/.test(text)) continue;
    return `${name} "${text}" is not a whole number; pass one like 7`;
  }
  return undefined;
}

/**
 * Finds an option that is not a finite number greater than 0; returns the message
 * that says so, or undefined.
 */
export function findInvalidPositive(
  options: NumberOptions,
): string | undefined {
  for (const [name, text] of Object.entries(options)) {
    const value = Number(text);
    if (text.trim() !== "" && value > 0 && value < Infinity) continue;
    return `${name} "${text}" is not usable; pass a number greater than 0`;
  }
  return undefined;
}
