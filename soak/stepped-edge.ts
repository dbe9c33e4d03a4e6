/** The edge daemon as it's delivered, with a time of day that jumps back or ahead at each SIGUSR2, as a badly kept clock does. */
import process from 'node:process';

const bundle = new URL('../../target/savorylock-edge.js', import.meta.url);

const stepMilliseconds = 2000;

const timeOfDay = Date.now.bind(Date);
let offset = 0;
Date.now = () => timeOfDay() + offset;
process.on('SIGUSR2', () => {
	offset = offset === 0 ? stepMilliseconds : (offset > 0 ? -stepMilliseconds : 0);
});
await import(bundle.href);
