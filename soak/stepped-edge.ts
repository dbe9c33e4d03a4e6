/** Runs the bundled edge daemon with a system time that steps forwards, backwards or to normal at each SIGUSR2. */
import process from 'node:process';

const bundle = new URL('../../target/savorylock-edge.js', import.meta.url);

const stepMilliseconds = 2000;

const systemTime = Date.now.bind(Date);
let offset = 0;
Date.now = () => systemTime() + offset;
process.on('SIGUSR2', () => {
	offset = offset === 0 ? stepMilliseconds : (offset > 0 ? -stepMilliseconds : 0);
});
await import(bundle.href);
