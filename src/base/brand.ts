/** Nominal types for primitives. */

/** A primitive with a compile-time name; values with different names are not assignable to each other. */
export type Brand<Primitive, Name extends string> = Primitive & {readonly __brand: Name};
