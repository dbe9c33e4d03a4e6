/** Writes docs/EVENTS.md from the compiled event catalogue; `npm run build` comes first. */
import {writeFileSync} from 'node:fs';
import {eventCatalogue} from '../dist/src/runtime/journal/event-catalogue.js';

/* eslint-disable @stylistic/max-len -- a paragraph of Markdown is one line */
const introduction = `# Events

The daemon logs each decision as \`NUMBER NAME {FIELDS}\` on standard error, below the name \`savorylock:LEVEL\` of the \`debug\` package. DEBUG selects levels: \`DEBUG=savorylock:*\` shows everything, \`DEBUG=savorylock:notice,savorylock:warning,savorylock:alarm\` leaves out the lines for each task. A number keeps its meaning; a retired one isn't used again. A test compares this table with the code; \`node scripts/write-events.mjs\` writes it. What to do about an alarm is in [operations/alarms.md](operations/alarms.md).

| number | name | level | meaning | fields |
|---|---|---|---|---|
`;
/* eslint-enable @stylistic/max-len */
const rows = Object.entries(eventCatalogue).map(([name, {number, level, meaning, fields}]) => `| ${number} | ${name} | ${level} | ${meaning} | ${fields.join(', ')} |`);
writeFileSync('docs/EVENTS.md', `${introduction}${rows.join('\n')}\n`);
