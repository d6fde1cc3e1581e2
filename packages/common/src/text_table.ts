/**
 * Plain-text tables.
 */

/** Formats rows under a heading; columns are padded to their widest cell. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [heading, ...rows];
  const widths = heading.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length))
  );
  return all.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  ).join("\n");
}
