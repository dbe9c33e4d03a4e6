/** Schema of JSON values. */
import * as z from 'zod';
import type {JsonValue} from './json-value.js';

const schema = z.json();

/** Accepts any JSON value, and returns it as it is: the library's own schema returns a copy without keys called `__proto__`. */
export const jsonValueSchema = z.custom<JsonValue>(value => schema.safeParse(value).success);
