import { test } from "uvu";
import * as assert from "uvu/assert";
import { Appointments } from "./appointments.ts";

test("refused requests return one after the other, the urgent first", () => {
  const book = Appointments.create();
  const request = { key: undefined, placeInMs: 200, timeLeftMs: 3_000 };
  const times = [1, 1, 0, 1].map((rank) =>
    book.book({ ...request, rank }, 50, 0)
  );
  assert.equal(times, [200, 250, 200, 300]);
});

test("an appointment leaves two thirds of the time", () => {
  const book = Appointments.create();
  const request = { key: undefined, rank: 0, placeInMs: 2_000 };
  assert.is(book.book({ ...request, timeLeftMs: 3_000 }, 50, 0), 1_000);
});

test("only who returns at its time is known", () => {
  const book = Appointments.create();
  const request = { rank: 0, placeInMs: 500, timeLeftMs: 3_000 };
  for (const key of ["early", "due", "late"]) {
    book.book({ ...request, key }, 0, 0);
  }
  assert.is(book.takeReturn("early", 100), false);
  assert.is(book.takeReturn("early", 500), false, "asked twice");
  assert.is(book.takeReturn("due", 510), true);
  assert.is(book.takeReturn("late", 9_000), false);
});

test.run();
